package plankwall.wire

/**
 * What a node can reach, by its own observation. Ages are in milliseconds by its monotonic clock when the frame was
 * made, negative for what has not happened yet.
 */
data class ReachabilityReport(
    /** Rises with every frame of this node, over its restarts too. Whoever echoes it has received that frame. */
    val seq: Long,
    /** The newest [seq] that this node received from each peer: proof to that peer of how old this frame can be. */
    val echoes: Map<String, Long>,
    /** Since the last success with the state service, by [StoreUse]: each may fail alone. */
    val storeAgesMs: List<Int>,
    val cloudAgeMs: Int,
    /** Workers that sent a heartbeat here within the last heartbeat interval, however it was answered. */
    val recentWorkers: Int,
    /** Of the leader, by zone; empty from the others. */
    val zones: List<ZoneReach>,
    /** The leader by the best proof that this node has itself; not what others reported to it. */
    val leader: LeaderSighting?,
    /** Of a node that resigned: the candidate that it prefers. */
    val successor: String?,
)

/** The ways of using the state service that can fail independently. */
enum class StoreUse { READ, WRITE, RENEW, WATCH }

/** A leader's machines in one zone: [known] in service, of these [late] with a heartbeat that came to it directly. */
data class ZoneReach(val zone: String, val known: Int, val late: Int)

/** That [node] led in [epoch], by proof that is [ageMs] old. */
data class LeaderSighting(val node: String, val epoch: Long, val ageMs: Int)
