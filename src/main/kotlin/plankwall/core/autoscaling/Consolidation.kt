package plankwall.core.autoscaling

import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.model.Resources

/**
 * Picks the machines that the fleet could do without: with tasks of all lengths on hundreds of machines hardly one is
 * ever empty, so hardly one is ever unneeded, however little there is to do. New tasks avoid those picked, which then
 * run empty and go back by the paper's own step.
 */
class Consolidation(private val fleet: Fleet) {
    /** Marks as surplus the emptiest of [usable] whose tasks would fit into the others beside [needed] more. */
    fun refresh(usable: List<Machine>, needed: Resources) {
        fleet.machines.forEach { it.surplus = false }
        for ((_, machines) in usable.groupBy { it.group?.spot }) {
            var spare = machines.fold(Resources.NONE) { sum, m -> sum + m.free - m.held } - needed
            for (m in machines.sortedBy { it.used.partOf(it.type?.capacity ?: Resources.NONE) }) {
                // Its own room goes, and its tasks, or the next ones in their place, take room elsewhere.
                spare -= m.type?.capacity ?: break
                if (spare.cpus < 0 || spare.gpus < 0 || spare.memory < 0) break
                m.surplus = m.held === Resources.NONE && m.reservations.isEmpty()
            }
        }
    }
}
