package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.model.ServiceLevelObjectives

/**
 * By when a job must have started and be done to count for its users' aims, in milliseconds of the time of day.
 * [either]: one of the two is enough.
 */
class Deadline private constructor(private val startMs: Long, private val endMs: Long, private val either: Boolean) {
    /** Nobody said by when: it is never late. */
    val isOpen: Boolean get() = startMs == Long.MAX_VALUE && endMs == Long.MAX_VALUE

    /**
     * The seconds from [nowMs] by which a job must be over whose tasks take [lastsS] each: it counts as started in time
     * only if what is left of it starts before the start is due.
     */
    fun inS(nowMs: Long, lastsS: Double): Double {
        val byStart = until(startMs, nowMs) + lastsS
        val byEnd = until(endMs, nowMs)
        return if (either &&
            startMs != Long.MAX_VALUE &&
            endMs != Long.MAX_VALUE
        ) {
            maxOf(byStart, byEnd)
        } else {
            minOf(byStart, byEnd)
        }
    }

    fun startOver(nowMs: Long): Boolean = nowMs > startMs

    fun endOver(nowMs: Long): Boolean = nowMs > endMs

    private fun until(ms: Long, nowMs: Long): Double = if (ms == Long.MAX_VALUE) NEVER_S else (ms - nowMs) / 1000.0

    companion object {
        /** Longer than anybody waits, and short enough to be added to. */
        private const val NEVER_S = 1e9

        /** All that was asked of [job]. */
        fun tight(job: Job, objectives: ServiceLevelObjectives): Deadline = of(
            job,
            objectives.startWithinS(job.spec.jobClass),
            objectives.finishWithinS(job.spec.jobClass),
            1.0,
            either = false,
        )

        /** The least of what was asked: after this nothing is left to be met. */
        fun last(job: Job, objectives: ServiceLevelObjectives): Deadline = of(
            job,
            objectives.lastStartWithinS(job.spec.jobClass),
            objectives.lastFinishWithinS(job.spec.jobClass),
            objectives.lastDeadlineTimes(job.spec.jobClass),
            either = true,
        )

        private fun of(job: Job, startS: Double?, finishS: Double?, times: Double, either: Boolean): Deadline {
            // A stage is due when the job that needs it must start; what comes after it may make up for a little.
            val deadlineMs = if (job.dueMs ==
                Long.MAX_VALUE
            ) {
                Long.MAX_VALUE
            } else {
                job.submittedMs + ((job.dueMs - job.submittedMs) * times).toLong()
            }
            return Deadline(after(job, startS), minOf(after(job, finishS), deadlineMs), either)
        }

        private fun after(job: Job, s: Double?): Long = if (s ==
            null
        ) {
            Long.MAX_VALUE
        } else {
            job.readyMs + (s * 1000).toLong()
        }
    }
}
