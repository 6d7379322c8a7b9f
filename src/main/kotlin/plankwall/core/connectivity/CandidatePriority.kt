package plankwall.core.connectivity

import plankwall.core.statemachine.Context
import plankwall.wire.PeerStatus

/**
 * Which node should acquire leadership when it is free. A candidate must reach the store, since nothing can be stored
 * without it; among those that do, nodes that workers reach come first. A node that workers don't reach leads all the
 * same if it is the only candidate: their heartbeats are relayed by the others.
 */
class CandidatePriority(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val recentWorkers: () -> Int,
) {
    private var freeSince = Double.NaN
    private var workersLostAt = Double.NEGATIVE_INFINITY
    private var successor: String? = null
    private var successorNamedAt = Double.NEGATIVE_INFINITY

    /** This node resigned because workers did not reach it: until one does, others come first. */
    fun onWorkersLost() {
        workersLostAt = ctx.now
    }

    /**
     * Takes note of the successor that a resigning leader names. Returns whether it is this node, which should then
     * acquire leadership without delay.
     */
    fun onStatus(status: PeerStatus): Boolean {
        val named = status.links?.successor ?: return false
        successor = named
        successorNamedAt = ctx.now
        return named == ctx.settings.node
    }

    /** Whether this node should try to acquire leadership now; to be called each time that it is found free. */
    fun mayAcquire(): Boolean {
        if (freeSince.isNaN() || ctx.now - freeSince > VACANCY_EXPIRES_S) freeSince = ctx.now
        return ctx.now - freeSince >= delayS()
    }

    /** Leadership is held by some node. */
    fun onLeaderSeen() {
        freeSince = Double.NaN
    }

    /** Short and always bounded: a time without a leader costs more than a leader that is the second best. */
    private fun delayS(): Double {
        val candidates = reachability.freshPeers().filter { it.stateReachable }
        val workersHere = recentWorkers()
        val named = successor?.takeIf { ctx.now - successorNamedAt < VACANCY_EXPIRES_S }
        return when {
            candidates.isEmpty() || named == ctx.settings.node -> 0.0
            named != null && candidates.any { it.node == named } -> MAX_DELAY_S
            workersHere == 0 && ctx.now - workersLostAt < ctx.settings.workers.leaseS -> MAX_DELAY_S
            workersHere == 0 && candidates.any { it.recentWorkers > 0 } -> MAX_DELAY_S / 2
            else -> 0.0
        }
    }

    /** The node to name as successor when this one resigns: it reaches the store, and most workers reach it. */
    fun preferredSuccessor(): PeerStatus? =
        reachability.freshPeers().filter { it.stateReachable && it.recentWorkers > 0 }.maxByOrNull { it.recentWorkers }

    private companion object {
        /** Two polls of the leader's key by a node that does not wait. */
        const val MAX_DELAY_S = 1.3

        /**
         * Longer than a lease of the leader's key and the longest delay together: what is older concerned another
         * vacancy.
         */
        const val VACANCY_EXPIRES_S = 5.0
    }
}
