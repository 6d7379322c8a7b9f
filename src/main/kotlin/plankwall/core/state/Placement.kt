package plankwall.core.state

import plankwall.model.Shape
import plankwall.wire.TaskStage

/**
 * One attempt of one task on one machine. From the moment it is planned until there is proof that the task is gone,
 * it counts against quota, capacity and zone rules.
 *
 * [SchedulerState] creates it and decides on its end; [StateWriter] sets [stored]; the heartbeat handler records what
 * commands were sent and what the worker reported. Stored are task, attempt, machine and session.
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: Machine, val session: Long) {
    /** The state service holds it: only then may `run` be sent. */
    var stored = false

    /** `run` was put into an answer of this leader, or may have been by an earlier one. */
    var commanded = false

    /** The worker reported it. */
    var seen = false

    /** The stage that the worker reported last. */
    var stage: TaskStage? = null

    /** Why it is being ended; null while it may go on. */
    var stopping: StopCause? = null

    /** When the stop was decided, in seconds of the steady clock. */
    var stopSince = 0.0

    /** The stop was sent directly, once; heartbeat answers repeat it. */
    var stopPosted = false

    /** When the worker first reported it as running, or 0. */
    var runningSince = 0.0

    /** When it was planned or read from the store. */
    var plannedAt = 0.0

    /** Seconds that the task has for its checkpoint after the stop. */
    var graceS = 0.0

    /** The worker reported its end; only the store has to follow. */
    var ended = false

    /** Job, task and attempt, as in log lines. */
    val id: String get() = "${job.spec.id}/$task#$attempt"

    /** Seconds until the task should end; null if that is unknown. Estimates of owners are often wrong by half. */
    fun endsIn(now: Double): Double? {
        val spec = job.spec
        if (stopping != null) return STOP_S
        if (spec.shape == Shape.SERVICE || runningSince <= 0.0) return null
        val ranS = now - runningSince
        val isOverdue = ranS > spec.estimateS * OVERDUE_FACTOR
        return if (isOverdue) null else maxOf(spec.estimateS - ranS, spec.estimateS * LEAST_REMAINING_SHARE)
    }

    private companion object {
        /** How long a stop usually takes. */
        const val STOP_S = 2.0

        /** Beyond this multiple of its estimate nothing is known of a task's end. */
        const val OVERDUE_FACTOR = 1.5

        /** The least part of the estimate that is assumed to remain. */
        const val LEAST_REMAINING_SHARE = 0.25
    }
}
