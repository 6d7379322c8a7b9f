package plankwall.core.relay

import plankwall.core.election.Leadership
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.state.Fleet
import plankwall.core.statemachine.Context

/**
 * Decides when a leader that reaches the store resigns because of where the workers are. Relayed heartbeats are as good
 * as direct ones, so a link that is cut for a while moves nothing; a change of leaders costs everything that a leader
 * has learned.
 */
class LeadershipTransfer(
    private val ctx: Context,
    private val leadership: Leadership,
    private val fleet: Fleet,
    private val failureDetector: FailureDetector,
    private val reach: DirectReachability,
) {
    private val times = ctx.settings.workers
    private var mostlyRelayedSince = Double.NaN

    /** Resigns if that is due; to be called regularly. */
    fun tick() {
        // Machines that a new leader knows of and has never heard from count too: one that can't be reached from the
        // start must not stay leader, nor may a lease expire meanwhile.
        val known = fleet.machines.filter { (it.registered && !it.returning) || failureDetector.isAwaited(it) }
        if (known.size < 2 || !leadership.mayWrite || !failureDetector.heartbeatRoundElapsed) return
        val silent = known.count { ctx.now - it.lastHeard > times.missedS }
        if (silent * 2 > known.size) {
            resignIfOthersReachWorkers(silent, known.size, known.count { it.registered })
        } else {
            resignIfMostlyRelayed(known.size)
        }
    }

    /**
     * Most workers have missed a heartbeat here, direct and relayed. If they turn up at peers that surely reach them
     * ([WorkerRelay.unservedWorkers]), a node that can answer them should lead, and soon, for their leases are about to
     * expire. If no peer is connected that could report it, all workers must be silent: a leader whose peers and most
     * of whose machines are in another zone, which is cut off, has to go on with the rest.
     */
    private fun resignIfOthersReachWorkers(silent: Int, known: Int, registered: Int) {
        val peers = leadership.reachability.livePeers()
        val unservedWorkers = peers.filter { it.stateReachable }.sumOf { it.unservedWorkers }
        val isIsolated = peers.isEmpty() && ctx.settings.peers.isNotEmpty() && silent == known && registered >= 2
        if (!isIsolated && unservedWorkers * 2 <= known) return
        val elsewhere = if (isIsolated) "no peer is connected" else "$unservedWorkers turn up at peers"
        leadership.resignForWorkers("$silent of $known machines silent here, $elsewhere")
    }

    /**
     * Most heartbeats have been relayed for longer than any passing cut: the leader resigns in favour of a node that
     * most workers reach, if there is one.
     */
    private fun resignIfMostlyRelayed(known: Int) {
        val relayed = reach.relayedWorkers
        if (relayed * 2 <= known) {
            mostlyRelayedSince = Double.NaN
            return
        }
        if (mostlyRelayedSince.isNaN()) mostlyRelayedSince = ctx.now
        val relayedForS = ctx.now - mostlyRelayedSince
        if (relayedForS < times.leaseS * MAX_RELAYED_LEASES) return
        val successor = leadership.candidatePriority.preferredSuccessor() ?: return
        if (successor.recentWorkers * 2 <= known) return
        leadership.resignForWorkers(
            "$relayed of $known machines relayed for ${relayedForS.toInt()} s, most reach ${successor.node}",
        )
    }

    private companion object {
        const val MAX_RELAYED_LEASES = 2.0
    }
}
