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
 * The leader's plan of which node serves which workers' sessions. While they fit on the leader, all workers come to it.
 * From [plankwall.model.Tuning.spreadSessionsAt] of its capacity on, the other nodes serve them, and the leader only
 * what exceeds their capacity, since its own processor is what all nodes depend on.
 *
 * @param inherited the previous leader's plan, kept until this one knows its machines, so that a failover moves no
 *   worker
 */
class SessionPlanner(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val fleet: Fleet,
    private val epoch: Long,
    inherited: SessionPlan?,
) {
    private val log = LoggerFactory.getLogger("sessions")
    private val startedAt = ctx.now
    private val ownCapacity = ctx.settings.sessionCapacity
    private val enabled = ctx.tuning.spreadSessionsAt > 0
    private val previousPlan = inherited?.takeIf { enabled }
    private var spread = previousPlan != null
    private val knownNodes = HashMap<String, KnownNode>()
    private val assignedNodes = HashMap<String, String?>()
    private var plannedFor = PlanBasis(emptySet(), emptyMap(), false)
    private var nextCheckAt = ctx.now

    /** Another node that has been fresh without a break [since] a moment, until [lastFreshAt]. */
    private class KnownNode(val since: Double) {
        var lastFreshAt = since
        var capacity = 0
    }

    /** What a plan was made from: the nodes, the workers by zone, and whether shares were taken from [previousPlan]. */
    private class PlanBasis(val nodes: Set<String>, val demand: Map<String, Int>, val inherited: Boolean)

    /** The plan in force; null if all workers come to the leader. */
    var plan: SessionPlan? = null
        private set(value) {
            field = value
            assignedNodes.clear()
        }

    /** The other node that serves the session of [machine], or null if the leader does. */
    fun assignedNode(machine: String, zone: String): String? {
        val current = plan ?: return null
        return assignedNodes.getOrPut(machine) {
            SessionAssignment.nodeFor(current, machine, zone)?.takeIf { it != ctx.settings.node }
        }
    }

    /** The other node that serves the session of [machine], or null if the leader does or its zone is not known. */
    fun assignedNode(machine: Machine): String? = machine.group?.let { assignedNode(machine.id, it.zone) }

    /** Adapts the plan to the nodes and workers there are; to be called regularly. */
    fun tick() {
        if (!enabled || ctx.now < nextCheckAt) return
        nextCheckAt = ctx.now + CHECK_INTERVAL_S
        val nodes = availableNodes()
        val demand = demandByZone()
        updateSpread(demand.values.sum(), nodes)
        val basis = PlanBasis(nodes.map { it.name }.toSet(), demand, isInheriting())
        when {
            !spread -> if (plan != null) gather()
            plan != null && !differs(basis) -> Unit
            else -> makePlan(basis, nodes)
        }
    }

    /**
     * Sessions are spread above the part of the capacity that the settings name, and gathered again well below it, so
     * that a few machines more or less move no worker.
     */
    private fun updateSpread(machines: Int, nodes: List<SessionNode>) {
        val limit = ownCapacity * ctx.tuning.spreadSessionsAt
        spread = when {
            nodes.isEmpty() -> false
            isInheriting() -> true
            spread -> machines >= limit * GATHER_BELOW
            else -> machines >= limit
        }
    }

    private fun isInheriting(): Boolean = previousPlan != null && ctx.now < startedAt + ctx.settings.workers.leaseS

    /**
     * Other nodes that are connected in both directions, serve sessions, and have done so for a while. A node that is
     * silent stays for half a lease: its workers find another path by themselves, and if this node itself was paused
     * for a moment, all workers would be moved for nothing.
     */
    private fun availableNodes(): List<SessionNode> {
        for (status in reachability.freshPeers()) {
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
                ?.takeIf { ctx.now - it.since >= stableForS }
                ?.let { SessionNode(peer.node, peer.zone, it.capacity) }
        }.sortedBy { it.name }
    }

    private fun demandByZone(): Map<String, Int> {
        val demand = HashMap<String, Int>()
        for (machine in fleet.machines) {
            val zone = machine.group?.zone ?: continue
            // A machine that is up and has not come yet will, whichever node its worker tries first.
            val isUp =
                machine.registered || machine.listed == ListedState.RUNNING || machine.placements.isNotEmpty()
            if (isUp && !machine.returning) demand.merge(zone, 1, Int::plus)
        }
        return demand
    }

    private fun differs(basis: PlanBasis): Boolean = when {
        basis.nodes != plannedFor.nodes || basis.inherited != plannedFor.inherited -> true
        basis.inherited -> false
        else -> (basis.demand.keys + plannedFor.demand.keys).any { zone ->
            hasDrifted(now = basis.demand[zone] ?: 0, planned = plannedFor.demand[zone] ?: 0)
        }
    }

    private fun hasDrifted(now: Int, planned: Int): Boolean =
        abs(now - planned) > maxOf(planned * MAX_DRIFT_PART, MAX_DRIFT_WORKERS)

    private fun makePlan(basis: PlanBasis, nodes: List<SessionNode>) {
        plannedFor = basis
        val zones = if (basis.inherited) {
            inheritedShares(nodes)
        } else {
            SessionShares.of(withAllZones(basis.demand), nodes + ownShare(basis.demand, nodes))
        }
        plan = SessionPlan(epoch, zones)
        log.info(
            "sessions spread epoch={} workers={} nodes={} inherited={} shares={}",
            epoch,
            basis.demand.values.sum(),
            nodes.size,
            basis.inherited,
            describe(zones),
        )
    }

    /** Workers may come from any zone of the site at any time. */
    private fun withAllZones(demand: Map<String, Int>): Map<String, Int> =
        ctx.settings.zones.associateWith { 0 } + demand

    /** This node serves what exceeds the capacity of the others. */
    private fun ownShare(demand: Map<String, Int>, nodes: List<SessionNode>): List<SessionNode> {
        val excess = demand.values.sum() / SessionShares.PLANNED_PART - nodes.sumOf { it.capacity }
        if (excess <= 0) return emptyList()
        return listOf(SessionNode(ctx.settings.node, ctx.settings.zone, excess.toInt().coerceIn(1, ownCapacity)))
    }

    private fun inheritedShares(nodes: List<SessionNode>): Map<String, List<SessionShare>> {
        val names = nodes.map { it.name }.toSet() + ctx.settings.node
        return previousPlan?.zones.orEmpty().mapValues { (_, shares) ->
            shares.filter { it.node in names }.ifEmpty { nodes.map { SessionShare(it.name, it.capacity) } }
        }
    }

    private fun gather() {
        log.info("sessions gathered on the leader epoch={}", epoch)
        plan = null
    }

    private fun describe(zones: Map<String, List<SessionShare>>): String =
        zones.entries.joinToString("; ") { (zone, shares) ->
            "$zone to ${shares.joinToString(" ") { "${it.node}:${it.weight}" }}"
        }

    private companion object {
        const val CHECK_INTERVAL_S = 1.0
        const val GATHER_BELOW = 0.7

        /** A node that comes and goes with a bad link gets no sessions. */
        const val JOIN_AFTER_S = 5.0
        const val REMOVE_AFTER_LEASES = 0.5

        /** How far a zone's workers may drift from what the plan was made for, as a part and as a number. */
        const val MAX_DRIFT_PART = 0.2
        const val MAX_DRIFT_WORKERS = 20.0
    }
}
