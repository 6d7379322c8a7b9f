package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Resources

/**
 * How much room each class asks for on average, by what its tasks take and for how long: the work of all jobs that
 * became demand lately. A new leader begins with the live jobs.
 */
class OfferedLoad(private val ctx: Context) {
    private class Work(val atMs: Long, val need: Resources, val seconds: Double)

    private val workByClass = HashMap<String, ArrayDeque<Work>>()
    private val sinceMs = ctx.time.wallMs
    private var lastIndex = -1

    /** Records those of [jobs] that are new. [occupancyS]: how long a task of a job holds its place. */
    fun record(jobs: Collection<Job>, occupancyS: (Job) -> Double) {
        val newestBefore = lastIndex
        for (job in jobs) {
            if (!job.ready || job.demandIx <= newestBefore) continue
            lastIndex = maxOf(lastIndex, job.demandIx)
            val work = Work(job.readyMs, job.spec.need, occupancyS(job) * job.spec.tasks)
            workByClass.getOrPut(job.spec.jobClass) { ArrayDeque() }.addLast(work)
        }
    }

    /** The part of [pool] that [jobClass] needs on average. */
    fun partOf(pool: Resources, jobClass: String): Double {
        val works = workByClass[jobClass] ?: return 0.0
        val windowS = windowS(jobClass)
        while (works.isNotEmpty() && ctx.time.wallMs - works.first().atMs > windowS * 1000) works.removeFirst()
        val firstMs = minOf(sinceMs, works.firstOrNull()?.atMs ?: sinceMs)
        val observedS = ((ctx.time.wallMs - firstMs) / 1000.0).coerceIn(windowS * MIN_WINDOW_PART, windowS)
        return works.sumOf { it.need.partOf(pool) * it.seconds } / observedS
    }

    /** As long as anybody waits for a job of the class: what came before that is over, or too late. */
    private fun windowS(jobClass: String): Double = maxOf(
        ctx.objectives.lastStartWithinS(jobClass) ?: 0.0,
        ctx.objectives.lastFinishWithinS(jobClass) ?: 0.0,
        ctx.settings.workers.leaseS,
    )

    private companion object {
        /** The first few jobs are no rate yet. */
        const val MIN_WINDOW_PART = 0.25
    }
}
