package plankwall.core.relay

import plankwall.core.election.Leadership
import plankwall.core.failuredetector.FailureDetector
import plankwall.core.state.Fleet
import plankwall.core.statemachine.Context

/**
 * Decides when a leader that reaches the state service resigns because workers reach other nodes but not this one.
 * Relayed heartbeats count as much as direct ones, so a link that is cut for a short time does not move the leadership:
 * with a change of leaders, all that the leader has learned from heartbeats is lost.
 */
class LeadershipTransfer(
    private val ctx: Context,
    private val leadership: Leadership,
    private val fleet: Fleet,
    private val failureDetector: FailureDetector,
    private val directReachability: DirectReachability,
) {
    private val workerTimes = ctx.settings.workers

    /** The time since which the heartbeats of most workers have been relayed, in seconds; NaN while they are not. */
    private var mostlyRelayedSince = Double.NaN

    /** Resigns if too many workers are silent or have been relayed for too long. Called regularly by the leader. */
    fun tick() {
        // Machines from which a new leader still awaits the first heartbeat count too. Otherwise a leader that no
        // worker ever reached would stay leader, and the workers' leases would expire.
        val knownMachines = fleet.machines.filter {
            (it.isRegistered && !it.isBeingScaledIn) ||
                failureDetector.isAwaited(it)
        }
        if (knownMachines.size < 2 || !leadership.mayWrite || !failureDetector.heartbeatRoundElapsed) return
        val silentCount = knownMachines.count { ctx.now - it.lastHeartbeatAt > workerTimes.missedHeartbeatS }
        if (silentCount * 2 > knownMachines.size) {
            resignIfOthersReachWorkers(silentCount, knownMachines.size, knownMachines.count { it.isRegistered })
        } else {
            resignIfMostlyRelayed(knownMachines.size)
        }
    }

    /**
     * Handles the case that most workers have missed a heartbeat here, both direct and relayed. The leader resigns if
     * peers that reach the state service report that they could serve more than half of the known workers
     * ([WorkerRelay.unservedWorkerCount]). A node that can answer these workers has to lead soon, since their leases
     * are about to expire. If no peer is connected that could report this, the leader resigns only if all workers are
     * silent: if the peers and most machines are in another zone, which is cut off, the leader has to continue with the
     * remaining machines.
     */
    private fun resignIfOthersReachWorkers(silentCount: Int, knownCount: Int, registeredCount: Int) {
        val peers = leadership.reachability.recentPeers()
        val unservedWorkerCount = peers.filter { it.isStoreReachable }.sumOf { it.unservedWorkerCount }
        val isIsolated = peers.isEmpty() &&
            ctx.settings.peers.isNotEmpty() &&
            silentCount == knownCount &&
            registeredCount >= 2
        if (!isIsolated && unservedWorkerCount * 2 <= knownCount) return
        val peersReason = if (isIsolated) "no peer is connected" else "$unservedWorkerCount turn up at peers"
        leadership.resignForWorkers("$silentCount of $knownCount machines silent here, $peersReason")
    }

    /**
     * Resigns in favour of a node that most workers reach, if there is one, once the heartbeats of most workers have
     * been relayed for longer than a short link failure lasts.
     */
    private fun resignIfMostlyRelayed(knownCount: Int) {
        val relayedCount = directReachability.relayedWorkerCount
        if (relayedCount * 2 <= knownCount) {
            mostlyRelayedSince = Double.NaN
            return
        }
        if (mostlyRelayedSince.isNaN()) mostlyRelayedSince = ctx.now
        val relayedForS = ctx.now - mostlyRelayedSince
        if (relayedForS < workerTimes.leaseS * MAX_RELAYED_LEASES) return
        val successor = leadership.candidatePriority.preferredSuccessor() ?: return
        if (successor.recentWorkerCount * 2 <= knownCount) return
        leadership.resignForWorkers(
            "$relayedCount of $knownCount machines relayed for ${relayedForS.toInt()} s, most reach ${successor.node}",
        )
    }

    private companion object {
        const val MAX_RELAYED_LEASES = 2.0
    }
}
