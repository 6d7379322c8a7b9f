package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.model.ServiceLevelObjectives

/**
 * By when a job must have started and have finished to meet its service-level objectives, in milliseconds of the time
 * of day. [eitherSuffices]: one of the two is enough.
 */
class Deadline private constructor(
    private val startMs: Long,
    private val endMs: Long,
    private val eitherSuffices: Boolean,
) {
    /** The job has no objective: it is never late. */
    val isOpen: Boolean get() = startMs == Long.MAX_VALUE && endMs == Long.MAX_VALUE

    /**
     * The seconds from [nowMs] within which a job must be over whose tasks take [taskS] each: it counts as started in
     * time only if what is left of it starts before the start is due.
     */
    fun secondsLeft(nowMs: Long, taskS: Double): Double {
        val byStart = secondsUntil(startMs, nowMs) + taskS
        val byEnd = secondsUntil(endMs, nowMs)
        val hasBoth = startMs != Long.MAX_VALUE && endMs != Long.MAX_VALUE
        return if (eitherSuffices && hasBoth) maxOf(byStart, byEnd) else minOf(byStart, byEnd)
    }

    private fun secondsUntil(ms: Long, nowMs: Long): Double =
        if (ms == Long.MAX_VALUE) UNBOUNDED_S else (ms - nowMs) / 1000.0

    companion object {
        /** Beyond any wait, and small enough to be added to. */
        private const val UNBOUNDED_S = 1e9

        /** The deadline for all objectives of [job]. */
        fun tightest(job: Job, objectives: ServiceLevelObjectives): Deadline = of(
            job,
            objectives.startWithinS(job.spec.jobClass),
            objectives.finishWithinS(job.spec.jobClass),
            1.0,
            eitherSuffices = false,
        )

        /** The deadline for the least of the objectives of [job]: after this none is left to be met. */
        fun loosest(job: Job, objectives: ServiceLevelObjectives): Deadline = of(
            job,
            objectives.lastStartWithinS(job.spec.jobClass),
            objectives.lastFinishWithinS(job.spec.jobClass),
            objectives.lastDeadlineTimes(job.spec.jobClass),
            eitherSuffices = true,
        )

        private fun of(
            job: Job,
            startS: Double?,
            finishS: Double?,
            deadlineTimes: Double,
            eitherSuffices: Boolean,
        ): Deadline {
            val endMs = minOf(after(job, finishS), deadlineMs(job, deadlineTimes))
            return Deadline(after(job, startS), endMs, eitherSuffices)
        }

        /** A DAG stage is due when the job that depends on it must start; that job may make up for a little. */
        private fun deadlineMs(job: Job, times: Double): Long {
            if (job.dueMs == Long.MAX_VALUE) return Long.MAX_VALUE
            return job.submittedMs + ((job.dueMs - job.submittedMs) * times).toLong()
        }

        private fun after(job: Job, seconds: Double?): Long =
            if (seconds == null) Long.MAX_VALUE else job.readyMs + (seconds * 1000).toLong()
    }
}
