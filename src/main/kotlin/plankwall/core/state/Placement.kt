package plankwall.core.state

import plankwall.model.Shape
import plankwall.wire.TaskStage

/**
 * One attempt to run one task on one machine. It counts against quota, capacity and zone rules from the moment it is
 * planned until there is proof that the task is gone.
 *
 * [SchedulerState] creates it and decides when it ends; [StateWriter] and the classes that it uses set [stored]; the
 * heartbeat handler records which commands were sent and what the worker reported. The store holds the task, the
 * attempt, the machine and the session.
 *
 * @property session the session of the worker for which it was planned; in any later one the task is not started
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: Machine, val session: Long) {
    /** Whether the placement is stored in the state service. Only then may the worker be ordered to start the task. */
    var stored = false

    /**
     * Whether an answer of this leader ordered the worker to start the task, or one of an earlier leader may have done
     * so.
     */
    var isCommanded = false

    /** Whether the worker has reported the task. */
    var isReported = false

    /** The stage of the task that the worker reported last; null if it has reported none. */
    var stage: TaskStage? = null

    /** The reason why the task is being stopped; null while it may continue to run. */
    var stopping: StopCause? = null

    /** The time at which the stop was decided, in seconds of the monotonic clock. */
    var stopSince = 0.0

    /** Whether the stop was sent by a direct command, which is done once; answers to heartbeats repeat it. */
    var isStopSentDirectly = false

    /**
     * The time at which the worker reported that the task had begun to run, in seconds of the monotonic clock; 0 before
     * that.
     */
    var runningSince = 0.0

    /**
     * The time at which the placement was planned, or read from the store by this leader, in seconds of the monotonic
     * clock.
     */
    var plannedAt = 0.0

    /** The number of seconds that a stopped task has for its checkpoint. */
    var graceS = 0.0

    /** Whether the worker has reported the end of the task, which then only has to be stored. */
    var hasExited = false

    /** The job, the task and the attempt, as log lines show them. */
    val id: String get() = "${job.spec.id}/$task#$attempt"

    /**
     * Returns the seconds from [now] until the task should end, or null if that is unknown. The estimates of owners are
     * often wrong by half.
     */
    fun secondsUntilEnd(now: Double): Double? {
        val spec = job.spec
        if (stopping != null) return STOP_DURATION_S
        if (spec.shape == Shape.SERVICE || runningSince <= 0.0) return null
        val ranS = now - runningSince
        val isOverdue = ranS > spec.estimateS * OVERDUE_FACTOR
        return if (isOverdue) null else maxOf(spec.estimateS - ranS, spec.estimateS * LEAST_REMAINING_SHARE)
    }

    private companion object {
        /** The time that a stop usually takes. */
        const val STOP_DURATION_S = 2.0

        /** The multiple of its estimate after which the end of a running task counts as unknown. */
        const val OVERDUE_FACTOR = 1.5

        /** The share of the estimate that is at least assumed to remain. */
        const val LEAST_REMAINING_SHARE = 0.25
    }
}
