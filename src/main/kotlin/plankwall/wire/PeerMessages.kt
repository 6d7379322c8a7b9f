package plankwall.wire

/** What controllers tell each other. */
sealed interface PeerMessage {
    /** The node that says so; null where it does not matter who does. */
    val sender: String?
}

/** Once a second: who a node is, whom it follows, whom it could reach. */
data class PeerStatus(
    val node: String,
    val incarnation: Long,
    val epochSeen: Long,
    val leading: Boolean,
    /** The epoch that this node led last and has stopped acting for, or 0. Proof for a take-over. */
    val resignedEpoch: Long,
    val stateReachable: Boolean,
    /** Workers that turned up here within the last few seconds and could not be served. */
    val unservedWorkers: Int,
    /** What a node can read of other nodes' data: [PeerCodec.LEVEL] of its version. */
    val level: Int = PeerCodec.FIRST_LEVEL,
    /** Null from a version that knows nothing of it, and that is not to be sent [RelayedHeartbeat]s either. */
    val links: ReachabilityReport? = null,
    /** Null from a version that does not tell; it vouches for nothing then. */
    val cancellations: CancellationUpdate? = null,
    /** Null from a version that serves no worker's session for a leader, and that knows no [HeartbeatBatch]. */
    val sessions: SessionUpdate? = null,
) : PeerMessage {
    override val sender: String get() = node

    /** Workers that turned up there lately; 0 from a version that does not tell. */
    val recentWorkers: Int get() = links?.recentWorkers ?: 0
}

data class JobProgress(val id: String, val done: Int, val running: Int)

/** From the leader of [epoch]: how far jobs are, for display at every node. */
data class ProgressUpdate(val epoch: Long, val jobs: List<JobProgress>) : PeerMessage {
    override val sender: String? get() = null
}

/**
 * How the links of a node stand, as far as it knows itself. Ages are in milliseconds by its own steady clock when the
 * frame was made, negative where there is nothing to be old.
 */
data class ReachabilityReport(
    /** Rises with every frame of this node, over its restarts too. Whoever echoes it has been sent that frame. */
    val seq: Long,
    /** The newest [seq] that this node has had from each peer: proof to that peer of how old this frame can be. */
    val echoes: Map<String, Long>,
    /** Since the state service last did as asked, by [StoreUse]: each may fail alone. */
    val storeAgesMs: List<Int>,
    val cloudAgeMs: Int,
    /** Workers that turned up here within the last report interval, whatever they were told. */
    val recentWorkers: Int,
    /** Of the leader, by zone; empty from the others. */
    val zones: List<ZoneReach>,
    /** Who leads by the best proof that this node has itself; not what it was told. */
    val leader: LeaderSighting?,
    /** Of one that gave up the lead: whom it would have lead. */
    val successor: String?,
)

/**
 * Jobs that a node knows as withdrawn, numbered from 1 in the order in which it came to know them since it started:
 * [jobs] begin with number [first]. All that it knew when the frame was made is numbered up to the last of them.
 */
data class CancellationUpdate(
    val first: Long,
    val jobs: List<String>,
    /** Since it began the last reading of the store that it has an answer to, by its clock; negative: none yet. */
    val readAgeMs: Long,
    /** Since it was started, by its clock. */
    val upMs: Long,
)

enum class StoreUse { READ, WRITE, RENEW, WATCH }

/** A leader's machines in one zone: [known] at work, of these [late] with a report that came straight to it. */
data class ZoneReach(val zone: String, val known: Int, val late: Int)

data class LeaderSighting(val node: String, val epoch: Long, val ageMs: Int)

/**
 * A worker's report that reached [from], for the leader that only [from] can reach. [echo]: the newest frame that
 * [from] has had from the leader, which tells the leader how old this can be. [address]: where the report came from, or
 * empty.
 */
data class RelayedHeartbeat(
    val from: String,
    val id: Long,
    val echo: Long,
    val address: String,
    val report: HeartbeatStatus,
) : PeerMessage {
    override val sender: String get() = from
}

/** The answer of the leader [from] to the [RelayedHeartbeat] [id], to be handed to the worker as it is. */
data class RelayedAnswer(val from: String, val id: Long, val status: Int, val body: ByteArray) : PeerMessage {
    override val sender: String get() = from

    override fun equals(other: Any?): Boolean = other is RelayedAnswer &&
        other.from == from &&
        other.id == id &&
        other.status == status &&
        other.body.contentEquals(body)

    override fun hashCode(): Int = id.hashCode()
}
