package plankwall.core.autoscaling

import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.model.Resources

/**
 * Marks machines whose tasks would fit on the others as surplus. With tasks of all lengths on hundreds of machines
 * hardly any machine is ever empty, and so hardly any is ever unneeded, even at low load. New tasks avoid surplus
 * machines, which become empty and are then scaled in by the paper's step 9.
 */
class Consolidation(private val fleet: Fleet) {
    /**
     * Marks the least used of the [usable] machines as surplus, as long as their tasks would fit on the others and
     * [capacityToKeep] would stay free there. Spot and ordinary machines are considered apart.
     */
    fun refresh(usable: List<Machine>, capacityToKeep: Resources) {
        fleet.machines.forEach { it.surplus = false }
        usable.groupBy { it.group?.spot }.values.forEach { markSurplus(it, capacityToKeep) }
    }

    private fun markSurplus(machines: List<Machine>, capacityToKeep: Resources) {
        var spareCapacity =
            machines.fold(Resources.NONE) { sum, machine -> sum + machine.free - machine.heldCapacity } - capacityToKeep
        for (machine in machines.sortedBy { it.used.dominantShareOf(it.type?.capacity ?: Resources.NONE) }) {
            // Subtracts the full capacity of the machine: its free part is lost, and its tasks, or those that follow
            // them, use as much on other machines as they use on this one.
            spareCapacity -= machine.type?.capacity ?: break
            if (spareCapacity.cpus < 0 || spareCapacity.gpus < 0 || spareCapacity.memory < 0) break
            machine.surplus = machine.heldCapacity === Resources.NONE && machine.reservations.isEmpty()
        }
    }
}
