package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.model.MachineType
import plankwall.model.Resources

/**
 * A machine of [group], arriving or to be requested, into which the [Estimator] packs tasks; [free] is what is left.
 */
internal open class CapacityBin(val group: GroupKey, var free: Resources) {
    /** What tasks of [job] may count on here. */
    open fun freeFor(job: Job): Resources = free

    /** What is free here whatever ends. */
    open val freeNow: Resources get() = free
}

/**
 * A running machine, with the room that its tasks should give back. Such room counts for a task that would start there,
 * fetch included, sooner than on a machine yet to be requested: it is as good as arriving.
 */
internal class VacatingBin(private val ctx: Context, private val machine: Machine, group: GroupKey) :
    CapacityBin(group, Resources.NONE) {
    private val ends = machine.placements.values.mapNotNull { placement ->
        placement.endsIn(ctx.now)?.let { TaskEnd(it, placement.job.spec.need) }
    }

    private class TaskEnd(val inS: Double, val freed: Resources)

    // `free` is below zero by what has been packed here so far.
    override val freeNow: Resources get() = machine.free - machine.held + free

    override fun freeFor(job: Job): Resources {
        val type = machine.type ?: return Resources.NONE
        val now = freeNow
        // A gang needs room on several machines at once, so what comes free on one is no promise to it.
        if (ends.isEmpty() || job.isGangOfSeveral) return now
        val newMachineInS = newMachineInS(job, type)
        // Estimates are often too low, and smaller tasks take what comes free: a task that needs several to end at once
        // may be promised such room for ever. One that has waited for a while is not promised it again.
        if (ctx.time.wallMs - job.readyMs > newMachineInS * 1000 * MAX_WAIT_PART) return now
        val limitS = newMachineInS - machine.fetchWait(job.image, job.spec.imageGb, ctx.now)
        var sum = now
        for (end in ends) if (end.inS < limitS) sum += end.freed
        return sum
    }

    private fun newMachineInS(job: Job, type: MachineType) = type.bootS + type.fetchS(job.spec.imageGb)

    private companion object {
        /** The part of a new machine's time for which a task waits for room that should come free. */
        const val MAX_WAIT_PART = 0.2
    }
}
