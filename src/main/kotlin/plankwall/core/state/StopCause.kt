package plankwall.core.state

/** The reason why a placement is being stopped. */
enum class StopCause {
    /** The user cancelled the job, or it depends on a job that was cancelled. */
    CANCELLED,

    /** The task's capacity is needed for another job. */
    PREEMPTED,

    /** The task's machine is being scaled in or is about to be reclaimed by the cloud. */
    DRAINED,

    /** Another task of the same gang was lost, which ends the attempt of the whole gang. */
    GANG,
}
