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
 * Takes machines out of the fleet: stored as to be returned first, drained if they can still be reached, then deleted
 * in the cloud. Only the answered deletion releases the tasks that were on them.
 */
internal class ScaleIn(
    private val ctx: Context,
    private val store: LeaderStore,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val state: AutoscalerState,
) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private var isDeleting = false

    /** Begins to take [machine] out, for [reason]: it gets no more tasks, and those on it save and stop. */
    fun request(machine: Machine, reason: String) {
        if (machine.returning) return
        machine.returning = true
        state.dirty = true
        fleet.arrivals.remove(machine.id)
        log.info(
            "scale in requested machine={} group={} tasks={} reason=\"{}\"",
            machine.id,
            machine.group,
            machine.placements.size,
            reason,
        )
        machine.placements.values.toList().forEach { schedulerState.stopWithSave(it, StopCause.DRAINED) }
    }

    /** Takes over the machines that an earlier leader stored as to be returned. */
    fun restore(machines: List<String>) {
        for (id in machines) {
            val machine = fleet.machine(id)
            machine.returning = true
            machine.returnStored = true
        }
    }

    /** What [record] holds is in the store, so its machines may be deleted. */
    fun onStored(record: FleetRecord) = record.returning.forEach { fleet.find(it)?.returnStored = true }

    /** Deletes the machines that are drained, can't be reached or have had their time to drain. */
    fun sendDeletions() {
        val due = fleet.machines.filter { mayDelete(it) }.take(MAX_MACHINES_PER_DELETION)
        // One call at a time, so that those due meanwhile go together: the cloud takes few calls.
        if (due.isEmpty() || isDeleting) return
        isDeleting = true
        due.forEach { it.deleting = true }
        ctx.out.cloud(CloudOp.Delete(due.map { it.id })) { result ->
            isDeleting = false
            if (!store.active) return@cloud
            due.forEach { it.deleting = false }
            if (result == CloudResult.Deleted) due.forEach { onDeleted(it) }
        }
    }

    private fun mayDelete(machine: Machine): Boolean =
        machine.returning && machine.returnStored && !machine.deleting && isDrained(machine)

    private fun isDrained(machine: Machine): Boolean = machine.placements.isEmpty() ||
        !fleet.isReady(machine) ||
        machine.placements.values.all { ctx.now - it.stopSince > DRAIN_TIMEOUT_S }

    private fun onDeleted(machine: Machine) {
        machine.placements.values.toList().forEach { schedulerState.release(it, "${machine.id} deleted") }
        fleet.remove(machine)
        fleet.arrivals.remove(machine.id)
        state.dirty = true
        log.info("machine deleted machine={}", machine.id)
    }

    private companion object {
        const val DRAIN_TIMEOUT_S = 15.0
        const val MAX_MACHINES_PER_DELETION = 100
    }
}
