package plankwall.core.sessions

import plankwall.wire.SessionShare
import kotlin.math.ceil

/** A node that may serve sessions: [capacity] of them. */
data class SessionNode(val name: String, val zone: String, val capacity: Int)

/** Works out how many workers of each zone each node serves. */
object SessionShares {
    /** The part of a node's room that is planned with; the rest is for workers on their way from node to node. */
    const val PLANNED_PART = 0.8

    /**
     * [demand]: workers by zone. A zone's own nodes serve it where they have the room, so that its workers' reports
     * leave it in few frames; all nodes together, by what room they have left, where they don't.
     */
    fun of(demand: Map<String, Int>, nodes: List<SessionNode>): Map<String, List<SessionShare>> {
        if (nodes.isEmpty()) return emptyMap()
        val left = nodes.associateTo(LinkedHashMap()) { it.name to it.capacity * PLANNED_PART }
        val (within, beyond) = demand.keys.sorted().partition { zone -> fitsWithin(zone, demand.getValue(zone), nodes) }
        val shares = within.associateWithTo(LinkedHashMap()) { zone ->
            val own = nodes.filter { it.zone == zone }
            take(own, demand.getValue(zone), left)
            own.map { SessionShare(it.name, it.capacity) }
        }
        val common = nodes.map { SessionShare(it.name, ceil(left.getValue(it.name)).toInt()) }.filter { it.weight > 0 }
            // More workers than all have room for: the nodes' limits hold, and nobody is left without a place to ask.
            .ifEmpty { nodes.map { SessionShare(it.name, it.capacity.coerceAtLeast(1)) } }
        beyond.forEach { shares[it] = common }
        return shares
    }

    private fun fitsWithin(zone: String, workers: Int, nodes: List<SessionNode>): Boolean =
        nodes.filter { it.zone == zone }.sumOf { it.capacity } * PLANNED_PART >= workers

    private fun take(own: List<SessionNode>, workers: Int, left: MutableMap<String, Double>) {
        val all = own.sumOf { it.capacity }.toDouble()
        own.forEach { left[it.name] = left.getValue(it.name) - workers * it.capacity / all }
    }
}
