package plankwall.core.sessions

import plankwall.wire.SessionShare
import kotlin.math.ceil

/** A node that may serve up to [capacity] workers' sessions. */
data class SessionNode(val name: String, val zone: String, val capacity: Int)

/** Divides the workers of each zone among the nodes. */
object SessionShares {
    /** The part of a node's capacity that is planned with; the rest is for workers that move from node to node. */
    const val PLANNED_PART = 0.8

    /**
     * The shares of the nodes by zone, for [demand] workers by zone. A zone is served by its own [nodes] where they
     * have the capacity, so that its workers' heartbeats leave it in few frames; otherwise by all nodes, in proportion
     * to the capacity that they have left.
     */
    fun of(demand: Map<String, Int>, nodes: List<SessionNode>): Map<String, List<SessionShare>> {
        if (nodes.isEmpty()) return emptyMap()
        val remaining = nodes.associateTo(LinkedHashMap()) { it.name to it.capacity * PLANNED_PART }
        val (local, shared) = demand.keys.sorted().partition { zone -> fitsLocally(zone, demand.getValue(zone), nodes) }
        val shares = local.associateWithTo(LinkedHashMap()) { zone ->
            val zoneNodes = nodes.filter { it.zone == zone }
            subtract(zoneNodes, demand.getValue(zone), remaining)
            zoneNodes.map { SessionShare(it.name, it.capacity) }
        }
        val common = nodes.map { SessionShare(it.name, ceil(remaining.getValue(it.name)).toInt()) }
            .filter { it.weight > 0 }
            // More workers than the capacity of all: the nodes' limits hold, and no worker is left without a node.
            .ifEmpty { nodes.map { SessionShare(it.name, it.capacity.coerceAtLeast(1)) } }
        shared.forEach { shares[it] = common }
        return shares
    }

    private fun fitsLocally(zone: String, workers: Int, nodes: List<SessionNode>): Boolean =
        nodes.filter { it.zone == zone }.sumOf { it.capacity } * PLANNED_PART >= workers

    private fun subtract(zoneNodes: List<SessionNode>, workers: Int, remaining: MutableMap<String, Double>) {
        val zoneCapacity = zoneNodes.sumOf { it.capacity }.toDouble()
        zoneNodes.forEach {
            remaining[it.name] = remaining.getValue(it.name) - workers * it.capacity / zoneCapacity
        }
    }
}
