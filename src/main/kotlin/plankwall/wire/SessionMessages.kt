package plankwall.wire

/**
 * A node's part in serving workers' sessions. [capacity]: how many it has connections for. [plan]: of the leader, while
 * it spreads them.
 */
data class SessionUpdate(val capacity: Int, val plan: SessionPlan? = null)

/**
 * Which nodes serve the workers of each zone while the leader of [epoch] leads. Workers of other zones come to the
 * leader.
 */
data class SessionPlan(val epoch: Long, val zones: Map<String, List<SessionShare>>)

/** [node] serves a part of a zone's workers in proportion to [weight]. */
data class SessionShare(val node: String, val weight: Int)

/**
 * One worker's report in a [HeartbeatBatch]. [id] is the sender's number for it; [address]: where it came from, or empty.
 */
sealed interface BatchedHeartbeat {
    val id: Long
    val address: String
}

data class FullHeartbeat(override val id: Long, override val address: String, val report: HeartbeatStatus) :
    BatchedHeartbeat

/**
 * A report that says what the whole report [baseId] of the same machine and session said, but for its number and the
 * highest token seen. A receiver that does not have that report any more asks for the whole one.
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
 * Reports of workers whose sessions [from] serves, for the leader of [epoch]. [echo]: the newest frame that [from] had
 * had from the leader before the first of them came, which tells the leader how old they can be.
 */
data class HeartbeatBatch(val from: String, val epoch: Long, val echo: Long, val reports: List<BatchedHeartbeat>) :
    PeerMessage {
    override val sender: String get() = from
}

/** The leader's answer to the report [id]. [status] as for the worker, or [RESEND]. */
data class BatchedAnswer(val id: Long, val status: Int, val body: ByteArray) {
    override fun equals(other: Any?): Boolean =
        other is BatchedAnswer && other.id == id && other.status == status && other.body.contentEquals(body)

    override fun hashCode(): Int = id.hashCode()

    companion object {
        /** The leader does not have what an [UnchangedHeartbeat] refers to: it is to be sent whole. */
        const val RESEND = 0
    }
}

/** Answers of the leader [from], of [epoch], to reports of a [HeartbeatBatch]. */
data class AnswerBatch(val from: String, val epoch: Long, val answers: List<BatchedAnswer>) : PeerMessage {
    override val sender: String get() = from
}
