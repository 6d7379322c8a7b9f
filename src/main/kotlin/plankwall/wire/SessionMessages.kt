package plankwall.wire

/**
 * A node's share in serving workers' sessions. [capacity]: how many it has connections for. [plan]: of the leader,
 * while it shards them.
 */
data class SessionUpdate(val capacity: Int, val plan: SessionPlan? = null)

/**
 * The nodes that serve the workers of each zone while the leader of [epoch] leads. Workers of other zones connect to
 * the leader.
 */
data class SessionPlan(val epoch: Long, val zones: Map<String, List<SessionShare>>)

/** [node] serves a share of a zone's workers in proportion to [weight]. */
data class SessionShare(val node: String, val weight: Int)

/**
 * One worker's heartbeat in a [HeartbeatBatch]. [id] is the sender's number for it; [address]: where it came from, or
 * empty.
 */
sealed interface BatchedHeartbeat {
    val id: Long
    val address: String
}

/** A heartbeat with its whole status. */
data class FullHeartbeat(override val id: Long, override val address: String, val report: HeartbeatStatus) :
    BatchedHeartbeat

/**
 * A heartbeat that equals the full heartbeat [baseId] of the same machine and agent epoch, but for its sequence number
 * and the highest fencing token seen. A receiver that no longer has that one asks for the full heartbeat.
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
 * Heartbeats of workers whose sessions [from] serves, for the leader of [epoch]. [echo]: the newest frame that [from]
 * had received from the leader before the first of them arrived, which tells the leader how old they can be.
 */
data class HeartbeatBatch(val from: String, val epoch: Long, val echo: Long, val reports: List<BatchedHeartbeat>) :
    PeerMessage {
    override val sender: String get() = from
}

/** The leader's answer to the heartbeat [id]. [status]: the HTTP status for the worker, or [RESEND]. */
data class BatchedAnswer(val id: Long, val status: Int, val body: ByteArray) {
    override fun equals(other: Any?): Boolean =
        other is BatchedAnswer && other.id == id && other.status == status && other.body.contentEquals(body)

    override fun hashCode(): Int = id.hashCode()

    companion object {
        /** The leader does not have what an [UnchangedHeartbeat] refers to: the full one has to be sent. */
        const val RESEND = 0
    }
}

/** Answers of the leader [from] of [epoch] to heartbeats of a [HeartbeatBatch]. */
data class AnswerBatch(val from: String, val epoch: Long, val answers: List<BatchedAnswer>) : PeerMessage {
    override val sender: String get() = from
}
