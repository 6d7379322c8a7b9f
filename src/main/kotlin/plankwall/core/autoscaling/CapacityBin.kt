package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.model.MachineType
import plankwall.model.Resources
import plankwall.wire.HeartbeatSize

/**
 * A machine of [group], arriving or to be requested, into which the [Estimator] packs tasks. [free] is the capacity
 * that no packed task takes yet, [freeHeartbeatBytes] the space left in its worker's heartbeat.
 */
internal open class CapacityBin(
    val group: GroupKey,
    protected var free: Resources,
    private var freeHeartbeatBytes: Int = HeartbeatSize.MAX_TASKS_BYTES,
) {
    /** Whether one more task of [job] fits. */
    fun fits(job: Job): Boolean = freeHeartbeatBytes >= job.heartbeatBytesPerTask && job.spec.need.fitsIn(freeFor(job))

    /** Packs one task of [job]. */
    fun add(job: Job) {
        free -= job.spec.need
        freeHeartbeatBytes -= job.heartbeatBytesPerTask
    }

    /** Returns the capacity into which tasks of [job] may be packed. */
    open fun freeFor(job: Job): Resources = free

    /** The capacity that is free now, without that of tasks that should end soon. */
    open val freeNow: Resources get() = free
}

/**
 * A running machine, with the capacity that its tasks should free when they end. Such capacity counts like that of an
 * arriving machine for a task that would start there earlier, image fetch included, than on a newly requested machine.
 */
internal class VacatingBin(private val ctx: Context, private val machine: Machine, group: GroupKey) :
    CapacityBin(group, Resources.NONE, machine.unheldHeartbeatBytes) {
    private val taskEnds = machine.placements.values.mapNotNull { placement ->
        placement.secondsUntilEnd(ctx.now)?.let { TaskEnd(it, placement.job.spec.need) }
    }

    /** A task that should end in [endsInS] seconds and so free the capacity [freed]. */
    private class TaskEnd(val endsInS: Double, val freed: Resources)

    // `free` starts at zero, so it is the negative sum of what has been packed here.
    override val freeNow: Resources get() = machine.free - machine.heldCapacity + free

    override fun freeFor(job: Job): Resources {
        val type = machine.type ?: return Resources.NONE
        val currentlyFree = freeNow
        // A gang needs capacity on several machines at once, so it cannot rely on what is freed on one of them.
        if (taskEnds.isEmpty() || job.isGangOfSeveral) return currentlyFree
        val newMachineStartS = newMachineStartS(job, type)
        // Run time estimates are often too low, and smaller tasks may take the freed capacity first. A task that needs
        // several others to end could then wait for such capacity for ever. So a job that has waited for a while is
        // packed only into capacity that is free now.
        if (ctx.time.wallMs - job.readyMs > newMachineStartS * 1000 * MAX_WAIT_PART) return currentlyFree
        val limitS = newMachineStartS - machine.imageCache.fetchWaitS(job.image, job.spec.imageGb, ctx.now)
        var expectedFree = currentlyFree
        for (end in taskEnds) if (end.endsInS < limitS) expectedFree += end.freed
        return expectedFree
    }

    /** Seconds until a task of [job] could start on a machine of [type] that is requested now. */
    private fun newMachineStartS(job: Job, type: MachineType) = type.bootS + type.fetchS(job.spec.imageGb)

    private companion object {
        /**
         * The maximum time that a task waits for capacity that should be freed, as a share of the time to start on a
         * new machine.
         */
        const val MAX_WAIT_PART = 0.2
    }
}
