package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.core.statemachine.Context
import plankwall.model.Resources

/**
 * How much room each class asks for on average, in what its tasks take and for how long: the work of all jobs that
 * became demand lately. A new leader begins with what is live.
 */
class OfferedLoad(private val ctx: Context) {
    private class Work(val atMs: Long, val need: Resources, val seconds: Double)

    private val byClass = HashMap<String, ArrayDeque<Work>>()
    private val sinceMs = ctx.time.wallMs
    private var seenIx = -1

    /** Takes note of those of [jobs] that are new. [eachS]: how long a task holds its place. */
    fun record(jobs: Collection<Job>, eachS: (Job) -> Double) {
        val newest = seenIx
        for (job in jobs) {
            if (!job.ready || job.demandIx <= newest) continue
            seenIx = maxOf(seenIx, job.demandIx)
            byClass.getOrPut(job.spec.jobClass) { ArrayDeque() }.addLast(
                Work(
                    job.readyMs,
                    job.spec.need,
                    eachS(job) * job.spec.tasks,
                ),
            )
        }
    }

    /** The part of [pool] that [jobClass] needs on average. */
    fun partOf(pool: Resources, jobClass: String): Double {
        val works = byClass[jobClass] ?: return 0.0
        val window = windowS(jobClass)
        while (works.isNotEmpty() && ctx.time.wallMs - works.first().atMs > window * 1000) works.removeFirst()
        val watched = ((ctx.time.wallMs - minOf(sinceMs, works.firstOrNull()?.atMs ?: sinceMs)) / 1000.0).coerceIn(
            window * LEAST_PART,
            window,
        )
        return works.sumOf { it.need.partOf(pool) * it.seconds } / watched
    }

    /** As long as anybody waits for a job of the class: what came before that is over, or too late. */
    private fun windowS(jobClass: String): Double = maxOf(
        ctx.objectives.lastStartWithinS(jobClass) ?: 0.0,
        ctx.objectives.lastFinishWithinS(jobClass) ?: 0.0,
        ctx.settings.workers.leaseS,
    )

    private companion object {
        /** The morning's first jobs are no rate yet. */
        const val LEAST_PART = 0.25
    }
}
