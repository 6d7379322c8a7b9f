package plankwall.core.relay

import plankwall.core.election.Leadership
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.state.Fleet
import plankwall.core.statemachine.Context

/**
 * When a leader that holds the store gives up the lead because of where the workers are. Their reports through other
 * nodes are as good as straight ones, so a link that is cut for a while moves nothing; a lead that changes hands costs
 * everything that a leader learns.
 */
class LeadershipTransfer(
    private val ctx: Context,
    private val leadership: Leadership,
    private val fleet: Fleet,
    private val failureDetector: FailureDetector,
    private val reach: DirectReachability,
) {
    private val times = ctx.settings.workers
    private var mostlyThroughSince = Double.NaN

    /**
     * Most workers have missed a report here, straight and through others, and turn up at peers instead, which surely
     * reach them ([WorkerRelay.unservedWorkers]): whoever can answer them should lead, and soon, for their leases are running
     * out. Where no peer is heard that could tell of it, all must be silent: a leader whose peers and most of whose
     * machines are in another zone, which is cut off, has to go on with the rest. Machines that a new leader knows of
     * and has never heard count too: one that can't be reached from the start must not keep the lead, and a lease must
     * not run out meanwhile.
     */
    fun tick() {
        val known = fleet.machines.filter { (it.registered && !it.returning) || failureDetector.isAwaited(it) }
        if (known.size < 2 || !leadership.mayWrite || !failureDetector.heartbeatRoundElapsed) return
        val silent = known.count { ctx.now - it.lastHeard > times.missedS }
        if (silent * 2 >
            known.size
        ) {
            giveUpUnheard(silent, known.size, known.count { it.registered })
        } else {
            giveUpDistant(known.size)
        }
    }

    private fun giveUpUnheard(silent: Int, known: Int, registered: Int) {
        val peers = leadership.reachability.livePeers()
        val unservedWorkers = peers.filter { it.stateReachable }.sumOf { it.unservedWorkers }
        val alone = peers.isEmpty() && ctx.settings.peers.isNotEmpty() && silent == known && registered >= 2
        if (!alone && unservedWorkers * 2 <= known) return
        val elsewhere = if (alone) "no peer is heard" else "$unservedWorkers turn up at peers"
        leadership.resignForWorkers("$silent of $known machines silent here, $elsewhere")
    }

    /**
     * Served through others for longer than any passing cut: the lead goes to whoever is reached, if one is reached by
     * most.
     */
    private fun giveUpDistant(known: Int) {
        val through = reach.throughOthers
        if (through * 2 <= known) {
            mostlyThroughSince = Double.NaN
            return
        }
        if (mostlyThroughSince.isNaN()) mostlyThroughSince = ctx.now
        if (ctx.now - mostlyThroughSince < times.leaseS * DISTANT_LEASES) return
        val best = leadership.candidatePriority.preferredSuccessor() ?: return
        if (best.recentWorkers * 2 <= known) return
        leadership.resignForWorkers(
            "$through of $known machines report through others for ${(ctx.now - mostlyThroughSince).toInt()} s, most at ${best.node}",
        )
    }

    private companion object {
        const val DISTANT_LEASES = 2.0
    }
}
