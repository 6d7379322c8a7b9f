package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.Shape

/**
 * How often one place serves a job's tasks. Tasks that are over long before a new machine would be up follow each other
 * on the machines there are, so an array of thousands of them does not need thousands of places.
 */
class TaskChurn(private val ctx: Context, private val catalog: Catalog) {
    /** How many of [waiting] tasks of [job] need a place of their own. */
    fun slots(job: Job, waiting: Int): Int {
        val tasksPerSlot = tasksPerSlot(job)
        return if (tasksPerSlot <= 1) waiting else (waiting + tasksPerSlot - 1) / tasksPerSlot
    }

    private fun tasksPerSlot(job: Job): Int {
        if (!mayShareSlots(job)) return 1
        val spec = job.spec
        val newMachineInS = catalog.fitting(spec).minOfOrNull { it.bootS + it.fetchS(spec.imageGb) } ?: return 1
        if (spec.estimateS > newMachineInS * SHORT_TASK_PART) return 1
        val waitedS = (ctx.time.wallMs - job.readyMs) / 1000.0
        val dueS = ctx.objectives.startWithinS(spec.jobClass) ?: ctx.objectives.finishWithinS(spec.jobClass)
        val leftS = maxOf(newMachineInS, (dueS ?: 0.0) - waitedS)
        // The place stands empty until its worker has reported the end and got the next task.
        val occupancyS = spec.estimateS + ctx.settings.workers.reportS / 2
        return (leftS * ESTIMATE_MARGIN / occupancyS).toInt().coerceAtLeast(1)
    }

    /** A job that depends on this one, or a deadline, leaves no time for one task after the other. */
    private fun mayShareSlots(job: Job): Boolean = job.spec.shape == Shape.ARRAY &&
        job.spec.estimateS > 0.0 &&
        !job.needed &&
        job.spec.dependencies.isEmpty() &&
        job.spec.deadlineS == null

    private companion object {
        /** The part of a new machine's time, below which tasks count as short. */
        const val SHORT_TASK_PART = 0.25

        /** Estimates are often wrong by half. */
        const val ESTIMATE_MARGIN = 0.5
    }
}
