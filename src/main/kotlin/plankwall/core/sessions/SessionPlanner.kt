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
 * The leader's choice of who serves which worker's session. Where all fit on the leader, they come to it. From
 * [plankwall.model.Tuning.spreadSessionsAt] of its room on, the other nodes serve them, and the leader only what those
 * have no room for: its own processor is what all share.
 *
 * [inherited]: the plan of the leader before, kept until this one knows its machines, so that a take-over moves nobody.
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
    private val before = inherited?.takeIf { enabled }
    private var spread = before != null
    private val nodesSeen = HashMap<String, Seen>()
    private val homes = HashMap<String, String?>()
    private var madeFor = Basis(emptySet(), emptyMap(), false)
    private var nextLook = ctx.now

    /** Another node, from when on it was fresh without a break, and when it was last. */
    private class Seen(val since: Double) {
        var last = since
        var capacity = 0
    }

    /** What a plan was worked out from. */
    private class Basis(val nodes: Set<String>, val demand: Map<String, Int>, val inherited: Boolean)

    /** Null: all workers come to the leader. */
    var plan: SessionPlan? = null
        private set(value) {
            field = value
            homes.clear()
        }

    /** The other node that serves the session of [machine], or null if it comes to the leader. */
    fun assignedNode(machine: String, zone: String): String? {
        val current = plan ?: return null
        return homes.getOrPut(machine) {
            SessionAssignment.nodeFor(current, machine, zone)?.takeIf {
                it !=
                    ctx.settings.node
            }
        }
    }

    fun assignedNode(m: Machine): String? = m.group?.let { assignedNode(m.id, it.zone) }

    fun tick() {
        if (!enabled || ctx.now < nextLook) return
        nextLook = ctx.now + LOOK_EVERY_S
        val nodes = nodesIn()
        val demand = demand()
        decide(demand.values.sum(), nodes)
        val basis = Basis(nodes.map { it.name }.toSet(), demand, isInheriting())
        when {
            !spread -> if (plan != null) gather()
            plan != null && !differs(basis) -> Unit
            else -> make(basis, nodes)
        }
    }

    /**
     * Spread beyond the part that the settings name, gathered again well below it: a few machines more or less move
     * nobody.
     */
    private fun decide(machines: Int, nodes: List<SessionNode>) {
        val limit = ownCapacity * ctx.tuning.spreadSessionsAt
        spread = when {
            nodes.isEmpty() -> false
            isInheriting() -> true
            spread -> machines >= limit * GATHER_BELOW
            else -> machines >= limit
        }
    }

    private fun isInheriting(): Boolean = before != null && ctx.now < startedAt + ctx.settings.workers.leaseS

    /**
     * Other nodes that hear this one and are heard, serve sessions, and have done so for a while. One that is not heard
     * stays for half a lease: its workers find another way by themselves, and where this node itself stood still for a
     * moment, all would be moved for nothing.
     */
    private fun nodesIn(): List<SessionNode> {
        for (status in reachability.freshPeers()) {
            val capacity = status.sessions?.capacity ?: 0
            if (capacity <= 0) continue
            val seen = nodesSeen.getOrPut(status.node) { Seen(ctx.now) }
            seen.last = ctx.now
            seen.capacity = capacity
        }
        nodesSeen.values.removeIf { ctx.now - it.last > ctx.settings.workers.leaseS * LEAVE_LEASES }
        val waitS = if (ctx.now < startedAt + JOIN_S) 0.0 else JOIN_S
        return ctx.settings.peers.mapNotNull { peer ->
            nodesSeen[peer.node]?.takeIf {
                ctx.now - it.since >= waitS
            }?.let { SessionNode(peer.node, peer.zone, it.capacity) }
        }.sortedBy { it.name }
    }

    private fun demand(): Map<String, Int> {
        val byZone = HashMap<String, Int>()
        for (m in fleet.machines) {
            val zone = m.group?.zone ?: continue
            // A machine that is up and not here yet will be, wherever its worker goes first.
            if (!m.returning &&
                (m.registered || m.listed == ListedState.RUNNING || m.placements.isNotEmpty())
            ) {
                byZone.merge(zone, 1, Int::plus)
            }
        }
        return byZone
    }

    private fun differs(basis: Basis): Boolean = when {
        basis.nodes != madeFor.nodes || basis.inherited != madeFor.inherited -> true
        basis.inherited -> false
        else -> (basis.demand.keys + madeFor.demand.keys).any { zone ->
            isFar(
                basis.demand[zone] ?: 0,
                madeFor.demand[zone] ?: 0,
            )
        }
    }

    private fun isFar(now: Int, then: Int): Boolean = abs(now - then) > maxOf(then * DEMAND_DRIFT, SMALL_ZONE)

    private fun make(basis: Basis, nodes: List<SessionNode>) {
        madeFor = basis
        val zones = if (basis.inherited) {
            inheritedZones(nodes)
        } else {
            SessionShares.of(
                everyZone(basis.demand),
                nodes + ownPart(basis.demand, nodes),
            )
        }
        plan = SessionPlan(epoch, zones)
        log.info(
            "epoch {}: sessions of {} workers spread over {} nodes{}: {}",
            epoch,
            basis.demand.values.sum(),
            nodes.size,
            if (basis.inherited) ", as the leader before had it" else "",
            describe(zones),
        )
    }

    /** Workers may come from any zone of the site at any time. */
    private fun everyZone(demand: Map<String, Int>): Map<String, Int> = ctx.settings.zones.associateWith { 0 } + demand

    /** This node serves what the others have no room for. */
    private fun ownPart(demand: Map<String, Int>, nodes: List<SessionNode>): List<SessionNode> {
        val beyond = demand.values.sum() / SessionShares.PLANNED_PART - nodes.sumOf { it.capacity }
        if (beyond <= 0) return emptyList()
        return listOf(SessionNode(ctx.settings.node, ctx.settings.zone, beyond.toInt().coerceIn(1, ownCapacity)))
    }

    private fun inheritedZones(nodes: List<SessionNode>): Map<String, List<SessionShare>> {
        val names = nodes.map { it.name }.toSet() + ctx.settings.node
        return before?.zones.orEmpty().mapValues { (_, shares) ->
            shares.filter { it.node in names }.ifEmpty { nodes.map { SessionShare(it.name, it.capacity) } }
        }
    }

    private fun gather() {
        log.info("epoch {}: sessions come to the leader again", epoch)
        plan = null
    }

    private fun describe(zones: Map<String, List<SessionShare>>): String =
        zones.entries.joinToString("; ") { (zone, shares) ->
            "$zone to ${shares.joinToString(" ") { "${it.node}:${it.weight}" }}"
        }

    private companion object {
        const val LOOK_EVERY_S = 1.0
        const val GATHER_BELOW = 0.7

        /** A node that comes and goes with a bad link gets no sessions. */
        const val JOIN_S = 5.0
        const val LEAVE_LEASES = 0.5

        /** How far a zone's workers may drift from what the plan was made for, as a part and as a number. */
        const val DEMAND_DRIFT = 0.2
        const val SMALL_ZONE = 20.0
    }
}
