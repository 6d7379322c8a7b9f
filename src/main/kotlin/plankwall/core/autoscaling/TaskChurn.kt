package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.Shape

/**
 * Estimates the number of tasks of a job that one slot (the capacity for one task) runs one after the other. Tasks that
 * end long before a new machine would be ready can run one after the other on the existing machines, so an array of
 * thousands of them does not need thousands of slots.
 */
class TaskChurn(private val ctx: Context, private val catalog: Catalog) {
    /** Returns the number of slots that [waitingTasks] tasks of [job] need. */
    fun countSlots(job: Job, waitingTasks: Int): Int {
        val tasksPerSlot = tasksPerSlot(job)
        return if (tasksPerSlot <= 1) waitingTasks else (waitingTasks + tasksPerSlot - 1) / tasksPerSlot
    }

    private fun tasksPerSlot(job: Job): Int {
        if (!mayShareSlot(job)) return 1
        val spec = job.spec
        val newMachineReadyS = catalog.fitting(spec).minOfOrNull { it.bootS + it.fetchS(spec.imageGb) } ?: return 1
        if (spec.estimateS > newMachineReadyS * SHORT_TASK_PART) return 1
        val waitedS = (ctx.time.wallMs - job.readyMs) / 1000.0
        val objectiveS = ctx.objectives.startWithinS(spec.jobClass) ?: ctx.objectives.finishWithinS(spec.jobClass)
        val availableS = maxOf(newMachineReadyS, (objectiveS ?: 0.0) - waitedS)
        // After a task ends its slot stays empty until the worker has reported the end and received the next task. That
        // takes half a heartbeat interval on average.
        val occupancyS = spec.estimateS + ctx.settings.workers.heartbeatIntervalS / 2
        return (availableS * ESTIMATE_MARGIN / occupancyS).toInt().coerceAtLeast(1)
    }

    /**
     * Whether tasks of [job] may run one after the other in a slot: those of an array of known run time, unless a
     * deadline or a job that depends on this one leaves no time for that.
     */
    private fun mayShareSlot(job: Job): Boolean = job.spec.shape == Shape.ARRAY &&
        job.spec.estimateS > 0.0 &&
        !job.hasDependents &&
        job.spec.dependencies.isEmpty() &&
        job.spec.deadlineS == null

    private companion object {
        /**
         * Tasks are short if they run no longer than this part of the time in which a new machine is ready for them.
         */
        const val SHORT_TASK_PART = 0.25

        /** The part of the available time that is planned for, since run time estimates are often wrong by half. */
        const val ESTIMATE_MARGIN = 0.5
    }
}
