package plankwall.wire

/** A message from one controller to another. */
sealed interface PeerMessage {
    /** The node that sent it; null where the receiver has no use for it. */
    val sender: String?
}

/** Sent once a second: who a node is, which leader it follows, and what it can reach. */
data class PeerStatus(
    val node: String,
    val incarnation: Long,
    val epochSeen: Long,
    val leading: Boolean,
    /** The epoch that this node led last and has stopped acting in, or 0. Proof for a failover. */
    val resignedEpoch: Long,
    val stateReachable: Boolean,
    /** Workers that sent heartbeats here within the last few seconds and could not be served. */
    val unservedWorkers: Int,
    /** What a node can read of other nodes' data: [PeerCodec.LEVEL] of its version. */
    val level: Int = PeerCodec.FIRST_LEVEL,
    /** Null from a version that does not report it, and that must not be sent [RelayedHeartbeat]s either. */
    val links: ReachabilityReport? = null,
    /** Null from a version that does not report it; it confirms no cancellation then. */
    val cancellations: CancellationUpdate? = null,
    /** Null from a version that serves no worker's session for a leader, and that can't read a [HeartbeatBatch]. */
    val sessions: SessionUpdate? = null,
) : PeerMessage {
    override val sender: String get() = node

    /** Workers that sent heartbeats there lately; 0 from a version that does not report it. */
    val recentWorkers: Int get() = links?.recentWorkers ?: 0
}

/** The number of finished and running tasks of a job. */
data class JobProgress(val id: String, val done: Int, val running: Int)

/** From the leader of [epoch]: the jobs' progress, for status requests at every node. */
data class ProgressUpdate(val epoch: Long, val jobs: List<JobProgress>) : PeerMessage {
    override val sender: String? get() = null
}

/**
 * Jobs that a node knows to be cancelled, numbered from 1 in the order in which it learned of them since it started:
 * [jobs] begin with number [first]. All that it knew when the frame was made is numbered up to the last of them.
 */
data class CancellationUpdate(
    val first: Long,
    val jobs: List<String>,
    /** Since the last read of the store that was answered was sent, by the sender's clock; negative: none yet. */
    val readAgeMs: Long,
    /** Since the sender started, by its clock. */
    val upMs: Long,
)
