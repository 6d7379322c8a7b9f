package plankwall.core.connectivity

import plankwall.core.statemachine.Context
import plankwall.wire.PeerStatus

/**
 * Decides which node should acquire leadership when no node holds it. A candidate must reach the store, since nothing
 * can be stored without it; among the nodes that do, those that workers reach come first. A node that workers don't
 * reach leads nevertheless if it is the only candidate: the other nodes relay the heartbeats to it.
 *
 * @param countRecentWorkers returns how many workers sent heartbeats to this node lately
 */
class CandidatePriority(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val countRecentWorkers: () -> Int,
) {
    private var vacantSince = Double.NaN
    private var workersLostAt = Double.NEGATIVE_INFINITY
    private var successor: String? = null
    private var successorProposedAt = Double.NEGATIVE_INFINITY

    /**
     * Records that this node resigned because workers did not reach it. Until one does, other nodes come first, for at
     * most the lease of a worker.
     */
    fun onWorkersLost() {
        workersLostAt = ctx.now
    }

    /**
     * Records the successor that a resigning leader proposes in [status]. Returns whether it is this node, which should
     * then acquire leadership without delay.
     */
    fun onStatus(status: PeerStatus): Boolean {
        val proposedNode = status.links?.successor ?: return false
        successor = proposedNode
        successorProposedAt = ctx.now
        return proposedNode == ctx.settings.node
    }

    /**
     * Whether this node should try to acquire leadership now; to be called each time that no node is found to hold it.
     */
    fun mayAcquire(): Boolean {
        if (vacantSince.isNaN() || ctx.now - vacantSince > VACANCY_EXPIRY_S) vacantSince = ctx.now
        return ctx.now - vacantSince >= acquisitionDelayS()
    }

    /** Records that some node holds leadership. */
    fun onLeaderSeen() {
        vacantSince = Double.NaN
    }

    /**
     * Returns how long this node leaves a vacant leadership to others, in seconds. The delay is short and always
     * bounded, since a time without a leader costs more than a leader that is the second best.
     */
    private fun acquisitionDelayS(): Double {
        val candidates = reachability.provenFreshPeers().filter { it.isStoreReachable }
        val recentWorkerCount = countRecentWorkers()
        val proposedSuccessor = successor?.takeIf { ctx.now - successorProposedAt < VACANCY_EXPIRY_S }
        return when {
            candidates.isEmpty() || proposedSuccessor == ctx.settings.node -> 0.0
            proposedSuccessor != null && candidates.any { it.node == proposedSuccessor } -> MAX_ACQUISITION_DELAY_S
            recentWorkerCount == 0 && ctx.now - workersLostAt < ctx.settings.workers.leaseS -> MAX_ACQUISITION_DELAY_S
            recentWorkerCount == 0 && candidates.any { it.recentWorkerCount > 0 } -> MAX_ACQUISITION_DELAY_S / 2
            else -> 0.0
        }
    }

    /**
     * Returns the node to propose as successor when this one resigns: of those that reach the store, the one that most
     * workers reach; null if no worker reaches any of them.
     */
    fun preferredSuccessor(): PeerStatus? =
        reachability.provenFreshPeers().filter { it.isStoreReachable && it.recentWorkerCount > 0 }
            .maxByOrNull { it.recentWorkerCount }

    private companion object {
        /** The time of two polls of the leader's key by a node that does not wait. */
        const val MAX_ACQUISITION_DELAY_S = 1.3

        /**
         * Longer than the lease of the leader's key and the maximum delay together: what was observed longer ago
         * concerned an earlier vacancy.
         */
        const val VACANCY_EXPIRY_S = 5.0
    }
}
