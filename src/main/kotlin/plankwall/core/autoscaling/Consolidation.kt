package plankwall.core.autoscaling

import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.model.Resources

/**
 * Marks the machines that the fleet could do without as surplus: with tasks of all lengths on hundreds of machines
 * hardly one is ever empty, so hardly one is ever unneeded, however little there is to do. New tasks avoid surplus
 * machines, which then run empty and are scaled in by the paper's step 9.
 */
class Consolidation(private val fleet: Fleet) {
    /** Marks as surplus the emptiest of [usable] whose tasks would fit into the others beside [needed] more. */
    fun refresh(usable: List<Machine>, needed: Resources) {
        fleet.machines.forEach { it.surplus = false }
        usable.groupBy { it.group?.spot }.values.forEach { markSurplus(it, needed) }
    }

    private fun markSurplus(machines: List<Machine>, needed: Resources) {
        var spare = machines.fold(Resources.NONE) { sum, machine -> sum + machine.free - machine.held } - needed
        for (machine in machines.sortedBy { it.used.partOf(it.type?.capacity ?: Resources.NONE) }) {
            // Its own room goes, and its tasks, or the next ones in their place, take room elsewhere.
            spare -= machine.type?.capacity ?: break
            if (spare.cpus < 0 || spare.gpus < 0 || spare.memory < 0) break
            machine.surplus = machine.held === Resources.NONE && machine.reservations.isEmpty()
        }
    }
}
