package plankwall.wire

/** A message from one controller to another. */
sealed interface PeerMessage {
    /** The node that sent the message; null for a kind of message that does not name its sender. */
    val sender: String?
}

/**
 * The status that each node sends to its peers once a second: its identity, the leader it follows, what it can reach.
 */
data class PeerStatus(
    val node: String,
    /** Distinguishes the runs of the node: it changes with each restart. */
    val incarnation: Long,
    /** The newest epoch that the node has observed. */
    val epochSeen: Long,
    val leading: Boolean,
    /**
     * The last epoch that this node led and in which it has stopped acting; 0 if there is none. It proves to a new
     * leader that this one is no longer active.
     */
    val resignedEpoch: Long,
    val isStoreReachable: Boolean,
    /** The number of workers whose heartbeats of the last few seconds this node could not serve. */
    val unservedWorkerCount: Int,
    /** The record format level that the node can read: [PeerCodec.LEVEL] of its version. */
    val level: Int = PeerCodec.FIRST_LEVEL,
    /** Null if the sender's version does not report it; such a node must not be sent [RelayedHeartbeat]s either. */
    val links: ReachabilityReport? = null,
    /** Null if the sender's version does not report it; such a node confirms no cancellation. */
    val cancellations: CancellationUpdate? = null,
    /** Null from a version that serves no workers' sessions for a leader and can't read a [HeartbeatBatch]. */
    val sessions: SessionUpdate? = null,
) : PeerMessage {
    override val sender: String get() = node

    /** The number of workers that sent heartbeats to the node lately; 0 from a version that does not report it. */
    val recentWorkerCount: Int get() = links?.recentWorkerCount ?: 0
}

/** The number of finished and running tasks of a job. */
data class JobProgress(val id: String, val done: Int, val running: Int)

/** The progress of jobs as the leader of [epoch] sends it, so that every node can answer status requests. */
data class ProgressUpdate(val epoch: Long, val jobs: List<JobProgress>) : PeerMessage {
    override val sender: String? get() = null
}

/**
 * Jobs that a node knows to be cancelled. Since its start it numbers them from 1 in the order in which it learned of
 * them. [jobs] holds those from number [first] on, up to the newest that it knew of when the frame was made.
 */
data class CancellationUpdate(
    val first: Long,
    val jobs: List<String>,
    /**
     * The time since the sender sent its newest answered read of the store, by its clock; negative if there is none.
     */
    val readAgeMs: Long,
    /** The time since the sender started, by its clock. */
    val upMs: Long,
)
