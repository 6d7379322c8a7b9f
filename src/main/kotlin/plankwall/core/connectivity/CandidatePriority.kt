package plankwall.core.connectivity

import plankwall.core.statemachine.Context
import plankwall.wire.PeerStatus

/**
 * Who should take a lead that is free, by who can do what: the store is a must, since nothing can be stored without it;
 * among those that have it, whoever workers reach goes first. A node that workers don't reach leads all the same if it
 * is the only one: their reports come through the others.
 */
class CandidatePriority(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val recentWorkers: () -> Int,
) {
    private var freeSince = Double.NaN
    private var lostWorkersAt = Double.NEGATIVE_INFINITY
    private var namedAt = Double.NEGATIVE_INFINITY
    private var named: String? = null

    /** The lead was given up here since the workers could not come: until they are seen, others go first. */
    fun onWorkersLost() {
        lostWorkersAt = ctx.now
    }

    /** A leader that gives up names whom it would have lead. True if that is this node, which should not lose time. */
    fun onStatus(status: PeerStatus): Boolean {
        val successor = status.links?.successor ?: return false
        named = successor
        namedAt = ctx.now
        return successor == ctx.settings.node
    }

    /** To be asked whenever the lead is found free: whether this node should stand for it now. */
    fun mayAcquire(): Boolean {
        if (freeSince.isNaN() || ctx.now - freeSince > FORGET_S) freeSince = ctx.now
        return ctx.now - freeSince >= waitS()
    }

    fun onLeaderSeen() {
        freeSince = Double.NaN
    }

    /** Waits are short, and always bounded: a lead that nobody takes costs more than one that the second best takes. */
    private fun waitS(): Double {
        val able = reachability.freshPeers().filter { it.stateReachable }
        val mine = recentWorkers()
        val chosen = named?.takeIf { ctx.now - namedAt < FORGET_S }
        return when {
            able.isEmpty() || chosen == ctx.settings.node -> 0.0
            chosen != null && able.any { it.node == chosen } -> STAND_BACK_S
            mine == 0 && ctx.now - lostWorkersAt < ctx.settings.workers.leaseS -> STAND_BACK_S
            mine == 0 && able.any { it.recentWorkers > 0 } -> STAND_BACK_S / 2
            else -> 0.0
        }
    }

    /** Whom to name when this node gives up the lead: it has the store, and most workers turn up there. */
    fun preferredSuccessor(): PeerStatus? = reachability.freshPeers().filter {
        it.stateReachable && it.recentWorkers > 0
    }.maxByOrNull { it.recentWorkers }

    private companion object {
        /** Two polls of the leader's key by a node that does not wait. */
        const val STAND_BACK_S = 1.3

        /**
         * Longer than a lease of the leader's key and a stand-back together: an older choice was for another vacancy.
         */
        const val FORGET_S = 5.0
    }
}
