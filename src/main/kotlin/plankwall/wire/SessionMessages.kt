package plankwall.wire

/**
 * A node's report about workers' sessions.
 *
 * @property capacity the number of sessions that the node has connections for
 * @property plan the leader's plan while it shards the sessions over the nodes; otherwise, and from other nodes, null
 */
data class SessionUpdate(val capacity: Int, val plan: SessionPlan? = null)

/**
 * The nodes that serve the workers of each zone, as planned by the leader of [epoch] and valid while it leads. Workers
 * of zones that are not in [zones] connect to the leader.
 */
data class SessionPlan(val epoch: Long, val zones: Map<String, List<SessionShare>>)

/** One node's share of a zone: it serves a part of the zone's workers in proportion to [weight]. */
data class SessionShare(val node: String, val weight: Int)

/** One worker's heartbeat in a [HeartbeatBatch]. */
sealed interface BatchedHeartbeat {
    /** The number that the sender of the batch gave to the heartbeat; the answer repeats it. */
    val id: Long

    /** The network address from which the heartbeat came; empty if it is not known. */
    val address: String
}

/** A heartbeat that is sent with all its fields. */
data class FullHeartbeat(override val id: Long, override val address: String, val heartbeat: HeartbeatStatus) :
    BatchedHeartbeat

/**
 * A heartbeat that differs from an earlier [FullHeartbeat] of the same machine and agent epoch only in its sequence
 * number and the highest fencing token seen. A receiver that does not have that one any more asks for the full
 * heartbeat by [BatchedAnswer.RESEND].
 *
 * @property baseId the [id] of the full heartbeat
 */
data class UnchangedHeartbeat(
    override val id: Long,
    override val address: String,
    val machine: String,
    val baseId: Long,
    val seq: Long,
    val token: Long,
) : BatchedHeartbeat

/**
 * Heartbeats of the workers whose sessions the node [from] serves, sent to the leader of [epoch].
 *
 * @property echo the number of the newest frame that [from] had received from the leader before the first of the
 *   heartbeats arrived. It tells the leader how old the heartbeats can be at most.
 */
data class HeartbeatBatch(val from: String, val epoch: Long, val echo: Long, val heartbeats: List<BatchedHeartbeat>) :
    PeerMessage {
    override val sender: String get() = from
}

/** The leader's answer to the heartbeat with the number [id]. [status]: the HTTP status for the worker, or [RESEND]. */
data class BatchedAnswer(val id: Long, val status: Int, val body: ByteArray) {
    override fun equals(other: Any?): Boolean =
        other is BatchedAnswer && other.id == id && other.status == status && other.body.contentEquals(body)

    override fun hashCode(): Int = id.hashCode()

    companion object {
        /**
         * A status: the leader lacks the heartbeat that an [UnchangedHeartbeat] refers to; the full one has to be sent.
         */
        const val RESEND = 0
    }
}

/** Answers of the node [from], the leader of [epoch], to the heartbeats of a [HeartbeatBatch]. */
data class AnswerBatch(val from: String, val epoch: Long, val answers: List<BatchedAnswer>) : PeerMessage {
    override val sender: String get() = from
}
