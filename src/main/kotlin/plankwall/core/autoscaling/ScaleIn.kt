package plankwall.core.autoscaling

import org.slf4j.LoggerFactory
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.state.StopCause
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.FleetRecord

/**
 * Scales machines in. A machine is first stored as being scaled in, then drained if it can still be reached, and then
 * deleted in the cloud. If it is deleted with tasks on it, only the answer to the deletion releases them.
 */
internal class ScaleIn(
    private val ctx: Context,
    private val store: LeaderStore,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val autoscalerState: AutoscalerState,
) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private var isDeleting = false

    /**
     * Starts to scale in [machine]: it gets no more tasks, and those on it save their state and stop. [reason] is for
     * the log. Does nothing if it is being scaled in already.
     */
    fun request(machine: Machine, reason: String) {
        if (machine.isBeingScaledIn) return
        machine.isBeingScaledIn = true
        autoscalerState.isDirty = true
        fleet.bootingMachines.remove(machine.id)
        log.info(
            "scale in requested machine={} group={} tasks={} reason=\"{}\"",
            machine.id,
            machine.group,
            machine.placements.size,
            reason,
        )
        machine.placements.values.toList().forEach { schedulerState.stopWithCheckpoint(it, StopCause.DRAINED) }
    }

    /** Restores the [machines], by name, that an earlier leader stored as being scaled in. */
    fun restore(machines: List<String>) {
        for (id in machines) {
            val machine = fleet.machine(id)
            machine.isBeingScaledIn = true
            machine.isScaleInStored = true
        }
    }

    /** Marks the machines being scaled in of [record], which is stored now, as ready to be deleted. */
    fun onStored(record: FleetRecord) = record.machinesBeingScaledIn.forEach { fleet.find(it)?.isScaleInStored = true }

    /** Deletes the machines that are drained, cannot be reached, or have had their time to drain. */
    fun sendDeletions() {
        val dueMachines = fleet.machines.filter { mayDelete(it) }.take(MAX_MACHINES_PER_DELETION)
        // Only one call is in flight at a time, so that machines that become due during it share the next one: the
        // cloud accepts few calls.
        if (dueMachines.isEmpty() || isDeleting) return
        isDeleting = true
        dueMachines.forEach { it.isDeletionPending = true }
        ctx.out.cloud(CloudOp.Delete(dueMachines.map { it.id })) { result ->
            isDeleting = false
            if (!store.isTermActive) return@cloud
            dueMachines.forEach { it.isDeletionPending = false }
            if (result == CloudResult.Deleted) dueMachines.forEach { onDeleted(it) }
        }
    }

    private fun mayDelete(machine: Machine): Boolean =
        machine.isBeingScaledIn && machine.isScaleInStored && !machine.isDeletionPending && isDrained(machine)

    private fun isDrained(machine: Machine): Boolean = machine.placements.isEmpty() ||
        !fleet.isReady(machine) ||
        machine.placements.values.all { ctx.now - it.stopSince > DRAIN_TIMEOUT_S }

    private fun onDeleted(machine: Machine) {
        machine.placements.values.toList().forEach { schedulerState.release(it, "${machine.id} deleted") }
        fleet.remove(machine)
        fleet.bootingMachines.remove(machine.id)
        autoscalerState.isDirty = true
        log.info("machine deleted machine={}", machine.id)
    }

    private companion object {
        /** The maximum time for the tasks on a machine to save their state and stop before it is deleted. */
        const val DRAIN_TIMEOUT_S = 15.0
        const val MAX_MACHINES_PER_DELETION = 100
    }
}
