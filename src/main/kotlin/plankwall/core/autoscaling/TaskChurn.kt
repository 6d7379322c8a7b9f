package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.Shape

/**
 * How often one place serves a job's tasks. Tasks that are over long before a rented machine would be up follow each
 * other on the machines there are: a sweep of 25,000 tasks of four seconds once rented the whole capacity of the cloud,
 * for a minute's work.
 */
class TaskChurn(private val ctx: Context, private val catalog: Catalog) {
    /** How many of [waiting] tasks of [job] need a place of their own. */
    fun slots(job: Job, waiting: Int): Int {
        val turns = turns(job)
        return if (turns <= 1) waiting else (waiting + turns - 1) / turns
    }

    private fun turns(job: Job): Int {
        val spec = job.spec
        // What comes after it, or a time by which it is due, leaves no time for turns.
        if (spec.shape != Shape.ARRAY ||
            spec.estimateS <= 0.0 ||
            job.needed ||
            spec.dependencies.isNotEmpty() ||
            spec.deadlineS != null
        ) {
            return 1
        }
        val newIn = catalog.fitting(spec).minOfOrNull { it.bootS + it.fetchS(spec.imageGb) } ?: return 1
        if (spec.estimateS > newIn * SHORT) return 1
        val waitedS = (ctx.time.wallMs - job.readyMs) / 1000.0
        val due = ctx.objectives.startWithinS(spec.jobClass) ?: ctx.objectives.finishWithinS(spec.jobClass)
        val left = maxOf(newIn, (due ?: 0.0) - waitedS)
        // The place stands empty until its worker has reported the end and been told of the next task.
        return (left * SURELY / (spec.estimateS + ctx.settings.workers.reportS / 2)).toInt().coerceAtLeast(1)
    }

    private companion object {
        /** A part of a new machine's time, below which tasks count as short. */
        const val SHORT = 0.25

        /** Estimates are often wrong by half. */
        const val SURELY = 0.5
    }
}
