package plankwall.core.sessions

import plankwall.wire.SessionShare
import kotlin.math.ceil

/** A node that may serve up to [capacity] workers' sessions. */
data class SessionNode(val name: String, val zone: String, val capacity: Int)

/** Divides the workers of each zone among the nodes according to their capacity. */
object SessionShares {
    /** The share of a node's capacity that plans use; the rest is a reserve for workers that move between nodes. */
    const val PLANNED_CAPACITY_SHARE = 0.8

    /**
     * Returns the shares of the nodes for each zone. [demand] is the number of workers by zone. A zone is served by its
     * own [nodes] if they have the capacity, so that its workers' heartbeats leave the zone in a few batched frames.
     * Any other zone is served by all nodes, in proportion to their remaining capacity.
     */
    fun computeByZone(demand: Map<String, Int>, nodes: List<SessionNode>): Map<String, List<SessionShare>> {
        if (nodes.isEmpty()) return emptyMap()
        val remainingCapacity = nodes.associateTo(LinkedHashMap()) { it.name to it.capacity * PLANNED_CAPACITY_SHARE }
        val (localZones, sharedZones) = demand.keys.sorted().partition { zone ->
            fitsLocally(zone, demand.getValue(zone), nodes)
        }
        val shares = localZones.associateWithTo(LinkedHashMap()) { zone ->
            val zoneNodes = nodes.filter { it.zone == zone }
            subtractWorkers(zoneNodes, demand.getValue(zone), remainingCapacity)
            zoneNodes.map { SessionShare(it.name, it.capacity) }
        }
        val sharedZoneShares = nodes.map { SessionShare(it.name, ceil(remainingCapacity.getValue(it.name)).toInt()) }
            .filter { it.weight > 0 }
            // No node has capacity left. Each worker still gets a node, and the nodes' connection limits hold.
            .ifEmpty { nodes.map { SessionShare(it.name, it.capacity.coerceAtLeast(1)) } }
        sharedZones.forEach { shares[it] = sharedZoneShares }
        return shares
    }

    private fun fitsLocally(zone: String, workers: Int, nodes: List<SessionNode>): Boolean =
        nodes.filter { it.zone == zone }.sumOf { it.capacity } * PLANNED_CAPACITY_SHARE >= workers

    /** Subtracts [workers] from the remaining capacity of [zoneNodes], in proportion to their total capacity. */
    private fun subtractWorkers(
        zoneNodes: List<SessionNode>,
        workers: Int,
        remainingCapacity: MutableMap<String, Double>,
    ) {
        val zoneCapacity = zoneNodes.sumOf { it.capacity }.toDouble()
        zoneNodes.forEach {
            remainingCapacity[it.name] = remainingCapacity.getValue(it.name) - workers * it.capacity / zoneCapacity
        }
    }
}
