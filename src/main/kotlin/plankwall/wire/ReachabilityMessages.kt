package plankwall.wire

/**
 * A node's own observations of what it can reach: peers, the state service, the cloud and workers. Ages are in
 * milliseconds of its monotonic clock, as of the creation of the frame; a negative age means that the event has not
 * happened yet.
 */
data class ReachabilityReport(
    /** Increases with every frame of this node, also across restarts. A node that echoes it has received that frame. */
    val seq: Long,
    /** The newest [seq] received from each peer, by node. It proves to that peer how old this frame can be at most. */
    val echoes: Map<String, Long>,
    /** The age of the last successful request to the state service for each [StoreUse], by ordinal. */
    val storeAgesMs: List<Int>,
    /** The age of the last request that the cloud answered. */
    val cloudAgeMs: Int,
    /** The number of workers that sent a heartbeat here within the last heartbeat interval, whatever the answer was. */
    val recentWorkerCount: Int,
    /** The leader's machines by zone; empty from a node that does not lead. */
    val zones: List<ZoneReach>,
    /**
     * The leader by the best proof that this node has itself, not by reports of other nodes; null without a proof.
     */
    val leader: LeaderSighting?,
    /** The candidate that a node which has resigned proposes as the next leader; otherwise null. */
    val successor: String?,
)

/** The kinds of requests to the state service. Each kind may fail while the others succeed. */
enum class StoreUse { READ, WRITE, RENEW, WATCH }

/**
 * The leader's machines in one zone. [known]: the number of those whose workers should send heartbeats to it directly.
 * [late]: the number of these whose last direct heartbeat is overdue.
 */
data class ZoneReach(val zone: String, val known: Int, val late: Int)

/** A proof, [ageMs] old, that [node] was the leader of [epoch]. */
data class LeaderSighting(val node: String, val epoch: Long, val ageMs: Int)
