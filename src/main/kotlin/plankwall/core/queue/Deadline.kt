package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.model.ServiceLevelObjectives

/**
 * The times by which a job must have started and finished to meet its service-level objectives, in milliseconds of
 * wall-clock time; [Long.MAX_VALUE] where there is no such objective. [eitherSuffices]: meeting one of the two is
 * enough.
 */
class Deadline private constructor(
    private val latestStartMs: Long,
    private val latestEndMs: Long,
    private val eitherSuffices: Boolean,
) {
    /** Whether the job has no objective and so is never late. */
    val isUnbounded: Boolean get() = latestStartMs == Long.MAX_VALUE && latestEndMs == Long.MAX_VALUE

    /**
     * Returns the seconds from [nowMs] within which all tasks of the job must have ended if each takes [taskS]. The job
     * counts as started in time only if its last task starts by the start deadline, so the last task may end [taskS]
     * after it.
     */
    fun secondsLeft(nowMs: Long, taskS: Double): Double {
        val startLimitS = secondsUntil(latestStartMs, nowMs) + taskS
        val endLimitS = secondsUntil(latestEndMs, nowMs)
        val hasBoth = latestStartMs != Long.MAX_VALUE && latestEndMs != Long.MAX_VALUE
        return if (eitherSuffices && hasBoth) maxOf(startLimitS, endLimitS) else minOf(startLimitS, endLimitS)
    }

    private fun secondsUntil(ms: Long, nowMs: Long): Double =
        if (ms == Long.MAX_VALUE) UNBOUNDED_S else (ms - nowMs) / 1000.0

    companion object {
        /** Longer than any wait, but small enough to be added to. */
        private const val UNBOUNDED_S = 1e9

        /** Returns the deadline for meeting all objectives of [job]. */
        fun tightest(job: Job, objectives: ServiceLevelObjectives): Deadline = create(
            job,
            objectives.startWithinS(job.spec.jobClass),
            objectives.finishWithinS(job.spec.jobClass),
            1.0,
            eitherSuffices = false,
        )

        /** Returns the deadline for meeting at least one objective of [job]: after it none can be met. */
        fun loosest(job: Job, objectives: ServiceLevelObjectives): Deadline = create(
            job,
            objectives.lastStartWithinS(job.spec.jobClass),
            objectives.lastFinishWithinS(job.spec.jobClass),
            objectives.loosestDeadlineFactor(job.spec.jobClass),
            eitherSuffices = true,
        )

        private fun create(
            job: Job,
            startWithinS: Double?,
            finishWithinS: Double?,
            deadlineFactor: Double,
            eitherSuffices: Boolean,
        ): Deadline {
            val latestEndMs = minOf(latestMs(job, finishWithinS), deadlineMs(job, deadlineFactor))
            return Deadline(latestMs(job, startWithinS), latestEndMs, eitherSuffices)
        }

        /**
         * Returns the deadline of [job], with the time from its submission multiplied by [factor]; [Long.MAX_VALUE] if
         * it has none. A DAG stage is due when the job that depends on it must start, and that job may make up for a
         * short delay.
         */
        private fun deadlineMs(job: Job, factor: Double): Long {
            if (job.dueMs == Long.MAX_VALUE) return Long.MAX_VALUE
            return job.submittedMs + ((job.dueMs - job.submittedMs) * factor).toLong()
        }

        /**
         * Returns the time [withinS] seconds after [job] became ready, in milliseconds of wall-clock time;
         * [Long.MAX_VALUE] if that is null.
         */
        private fun latestMs(job: Job, withinS: Double?): Long =
            if (withinS == null) Long.MAX_VALUE else job.readyMs + (withinS * 1000).toLong()
    }
}
