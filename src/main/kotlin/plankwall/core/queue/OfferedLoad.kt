package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Resources

/**
 * The average capacity that each job class asks for: the work (need times run time) of all jobs that recently became
 * demand, that is, were submitted with no unfinished dependencies or had their last one finish. A new leader starts
 * with the live jobs.
 */
class OfferedLoad(private val ctx: Context) {
    /**
     * The work of a job that became ready at [readyMs], in milliseconds of wall-clock time: each task takes [need], and
     * all of them together occupy their places for [taskSeconds].
     */
    private class Work(val readyMs: Long, val need: Resources, val taskSeconds: Double)

    /** The recent jobs of each class, in the order in which they became demand. */
    private val workByClass = HashMap<String, ArrayDeque<Work>>()

    /** The time at which this leader began to observe the load, in milliseconds of wall-clock time. */
    private val observedSinceMs = ctx.time.wallMs

    /** The highest [Job.demandIndex] recorded so far. */
    private var lastDemandIndex = -1

    /**
     * Records the [jobs] that became demand since the last call. [occupancyS] returns for how long, in seconds, a task
     * of a job occupies its place.
     */
    fun record(jobs: Collection<Job>, occupancyS: (Job) -> Double) {
        val lastIndexBefore = lastDemandIndex
        for (job in jobs) {
            if (!job.ready || job.demandIndex <= lastIndexBefore) continue
            lastDemandIndex = maxOf(lastDemandIndex, job.demandIndex)
            val work = Work(job.readyMs, job.spec.need, occupancyS(job) * job.spec.tasks)
            workByClass.getOrPut(job.spec.jobClass) { ArrayDeque() }.addLast(work)
        }
    }

    /**
     * Returns the part of [pool] that [jobClass] asks for on average, which can be above 1. Drops the jobs that are
     * older than the window.
     */
    fun averageShareOf(pool: Resources, jobClass: String): Double {
        val works = workByClass[jobClass] ?: return 0.0
        val windowS = windowS(jobClass)
        while (works.isNotEmpty() && ctx.time.wallMs - works.first().readyMs > windowS * 1000) works.removeFirst()
        val firstMs = minOf(observedSinceMs, works.firstOrNull()?.readyMs ?: observedSinceMs)
        val observedS = ((ctx.time.wallMs - firstMs) / 1000.0).coerceIn(windowS * MIN_WINDOW_PART, windowS)
        return works.sumOf { it.need.dominantShareOf(pool) * it.taskSeconds } / observedS
    }

    /**
     * Returns the seconds over which the load of [jobClass] is averaged: as long as a job of the class can still meet
     * an objective, and at least one lease. Jobs from before that are over or too late.
     */
    private fun windowS(jobClass: String): Double = maxOf(
        ctx.objectives.lastStartWithinS(jobClass) ?: 0.0,
        ctx.objectives.lastFinishWithinS(jobClass) ?: 0.0,
        ctx.settings.workers.leaseS,
    )

    private companion object {
        /**
         * The shortest time to average over, as a part of the window: the first few jobs don't make a reliable rate.
         */
        const val MIN_WINDOW_PART = 0.25
    }
}
