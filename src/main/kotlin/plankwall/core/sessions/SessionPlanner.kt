package plankwall.core.sessions

import org.slf4j.LoggerFactory
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.wire.ListedState
import plankwall.wire.SessionPlan
import plankwall.wire.SessionShare
import kotlin.math.abs

/**
 * Makes the leader's plan of which node serves which workers' sessions. Below the share
 * [plankwall.model.Tuning.spreadSessionsAt] of the leader's capacity, all workers connect to the leader. From that
 * share on, the sessions are spread over the other nodes, and the leader serves only those that exceed their capacity,
 * since all nodes depend on the leader's processor. A share of 0 disables the plan.
 *
 * @param inheritedPlan the previous leader's plan, which stays in force for the duration of a lease until this leader
 *   knows its machines, so that a failover moves no worker; null if there is none
 */
class SessionPlanner(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val fleet: Fleet,
    private val epoch: Long,
    inheritedPlan: SessionPlan?,
) {
    private val log = LoggerFactory.getLogger("sessions")
    private val startedAt = ctx.now
    private val ownCapacity = ctx.settings.sessionCapacity
    private val isEnabled = ctx.tuning.spreadSessionsAt > 0
    private val previousPlan = inheritedPlan?.takeIf { isEnabled }
    private var isSpread = previousPlan != null
    private val knownNodes = HashMap<String, KnownNode>()
    private val assignedNodes = HashMap<String, String?>()
    private var planBasis = PlanBasis(emptySet(), emptyMap(), false)
    private var nextCheckAt = ctx.now

    /**
     * Another node that serves sessions. Its status has been fresh from [freshSince] to [lastFreshAt], with gaps of at
     * most half a lease. Both times are in seconds.
     */
    private class KnownNode(val freshSince: Double) {
        var lastFreshAt = freshSince
        var capacity = 0
    }

    /**
     * The input of a plan: the names of the other nodes, the number of workers by zone, and whether the shares are
     * taken from [previousPlan].
     */
    private class PlanBasis(val nodes: Set<String>, val demand: Map<String, Int>, val isInherited: Boolean)

    /** The plan in force; null if all workers connect to the leader. */
    var plan: SessionPlan? = null
        private set(value) {
            field = value
            assignedNodes.clear()
        }

    /** Returns the other node that serves the session of [machine], or null if the leader does. */
    fun assignedNode(machine: String, zone: String): String? {
        val currentPlan = plan ?: return null
        return assignedNodes.getOrPut(machine) {
            SessionAssignment.nodeFor(currentPlan, machine, zone)?.takeIf { it != ctx.settings.node }
        }
    }

    /** Returns the other node that serves the session of [machine]; null if the leader does or the zone is unknown. */
    fun assignedNode(machine: Machine): String? = machine.group?.let { assignedNode(machine.id, it.zone) }

    /** Adapts the plan to the current nodes and workers. Called regularly by the leader. */
    fun tick() {
        if (!isEnabled || ctx.now < nextCheckAt) return
        nextCheckAt = ctx.now + CHECK_INTERVAL_S
        val nodes = availableNodes()
        val demand = countWorkersByZone()
        updateSpread(demand.values.sum(), nodes)
        val basis = PlanBasis(nodes.map { it.name }.toSet(), demand, isInheriting())
        when {
            !isSpread -> if (plan != null) gatherSessions()
            plan != null && !differsFromPlan(basis) -> Unit
            else -> makePlan(basis, nodes)
        }
    }

    /**
     * Decides whether sessions are spread. They are spread from the configured share of the capacity on, and gathered
     * on the leader only well below it, so that a few machines more or less move no worker.
     */
    private fun updateSpread(workerCount: Int, nodes: List<SessionNode>) {
        val spreadLimit = ownCapacity * ctx.tuning.spreadSessionsAt
        isSpread = when {
            nodes.isEmpty() -> false
            isInheriting() -> true
            isSpread -> workerCount >= spreadLimit * GATHER_BELOW_SHARE
            else -> workerCount >= spreadLimit
        }
    }

    /** Whether the previous leader's plan is still used: for the duration of a lease after the election. */
    private fun isInheriting(): Boolean = previousPlan != null && ctx.now < startedAt + ctx.settings.workers.leaseS

    /**
     * Returns the other nodes that are connected in both directions, serve sessions, and have done so for a while. A
     * node that is silent is kept for half a lease. Its workers find another path by themselves in that time, and if
     * only this process was paused for a moment, removing the node would move all workers for no reason.
     */
    private fun availableNodes(): List<SessionNode> {
        for (status in reachability.provenFreshPeers()) {
            val capacity = status.sessions?.capacity ?: 0
            if (capacity <= 0) continue
            val node = knownNodes.getOrPut(status.node) { KnownNode(ctx.now) }
            node.lastFreshAt = ctx.now
            node.capacity = capacity
        }
        val removeAfterS = ctx.settings.workers.leaseS * REMOVE_AFTER_LEASES
        knownNodes.values.removeIf { ctx.now - it.lastFreshAt > removeAfterS }
        val stableForS = if (ctx.now < startedAt + JOIN_AFTER_S) 0.0 else JOIN_AFTER_S
        return ctx.settings.peers.mapNotNull { peer ->
            knownNodes[peer.node]
                ?.takeIf { ctx.now - it.freshSince >= stableForS }
                ?.let { SessionNode(peer.node, peer.zone, it.capacity) }
        }.sortedBy { it.name }
    }

    /** Counts the workers of each zone that are up or are expected to connect; those being scaled in do not count. */
    private fun countWorkersByZone(): Map<String, Int> {
        val demand = HashMap<String, Int>()
        for (machine in fleet.machines) {
            val zone = machine.group?.zone ?: continue
            // A machine that is up but has not sent a heartbeat yet will do so, whichever node its worker tries first.
            val isUp =
                machine.isRegistered || machine.listed == ListedState.RUNNING || machine.placements.isNotEmpty()
            if (isUp && !machine.isBeingScaledIn) demand.merge(zone, 1, Int::plus)
        }
        return demand
    }

    /** Whether [basis] differs enough from the input of the plan in force that a new plan has to be made. */
    private fun differsFromPlan(basis: PlanBasis): Boolean = when {
        basis.nodes != planBasis.nodes || basis.isInherited != planBasis.isInherited -> true
        basis.isInherited -> false
        else -> (basis.demand.keys + planBasis.demand.keys).any { zone ->
            hasDrifted(currentCount = basis.demand[zone] ?: 0, plannedCount = planBasis.demand[zone] ?: 0)
        }
    }

    private fun hasDrifted(currentCount: Int, plannedCount: Int): Boolean =
        abs(currentCount - plannedCount) > maxOf(plannedCount * MAX_DRIFT_SHARE, MAX_DRIFT_WORKERS)

    private fun makePlan(basis: PlanBasis, nodes: List<SessionNode>) {
        planBasis = basis
        val zones = if (basis.isInherited) {
            inheritedShares(nodes)
        } else {
            SessionShares.computeByZone(addSiteZones(basis.demand), nodes + ownNodeForExcess(basis.demand, nodes))
        }
        plan = SessionPlan(epoch, zones)
        log.info(
            "sessions spread epoch={} workers={} nodes={} inherited={} shares={}",
            epoch,
            basis.demand.values.sum(),
            nodes.size,
            basis.isInherited,
            describeShares(zones),
        )
    }

    /** Adds the site's zones without workers to [demand], since workers may connect from any of them at any time. */
    private fun addSiteZones(demand: Map<String, Int>): Map<String, Int> =
        ctx.settings.zones.associateWith { 0 } + demand

    /** Returns this node with the number of sessions that exceed the other [nodes]' capacity; empty if none do. */
    private fun ownNodeForExcess(demand: Map<String, Int>, nodes: List<SessionNode>): List<SessionNode> {
        val excess = demand.values.sum() / SessionShares.PLANNED_CAPACITY_SHARE - nodes.sumOf { it.capacity }
        if (excess <= 0) return emptyList()
        return listOf(SessionNode(ctx.settings.node, ctx.settings.zone, excess.toInt().coerceIn(1, ownCapacity)))
    }

    /**
     * Returns the shares of the previous leader's plan without those of nodes that are not available now. A zone that
     * has none left is served by all available [nodes].
     */
    private fun inheritedShares(nodes: List<SessionNode>): Map<String, List<SessionShare>> {
        val names = nodes.map { it.name }.toSet() + ctx.settings.node
        return previousPlan?.zones.orEmpty().mapValues { (_, shares) ->
            shares.filter { it.node in names }.ifEmpty { nodes.map { SessionShare(it.name, it.capacity) } }
        }
    }

    private fun gatherSessions() {
        log.info("sessions gathered on the leader epoch={}", epoch)
        plan = null
    }

    private fun describeShares(zones: Map<String, List<SessionShare>>): String =
        zones.entries.joinToString("; ") { (zone, shares) ->
            "$zone to ${shares.joinToString(" ") { "${it.node}:${it.weight}" }}"
        }

    private companion object {
        const val CHECK_INTERVAL_S = 1.0

        /** The share of the spread limit below which sessions are gathered on the leader again. */
        const val GATHER_BELOW_SHARE = 0.7

        /** A node must be connected for this long, so that one with an unstable link gets no sessions. */
        const val JOIN_AFTER_S = 5.0
        const val REMOVE_AFTER_LEASES = 0.5

        // A new plan is made once the number of a zone's workers differs from the planned number by more than this
        // share of it and by more than this number of workers.
        const val MAX_DRIFT_SHARE = 0.2
        const val MAX_DRIFT_WORKERS = 20.0
    }
}
