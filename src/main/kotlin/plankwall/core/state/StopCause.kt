package plankwall.core.state

/** The reason why a placement is being stopped. */
enum class StopCause {
    /** The user cancelled the job, or it depends on a job that was cancelled. */
    CANCELLED,

    /** Its capacity is needed for another job. */
    PREEMPTED,

    /** Its machine is being scaled in or is about to be taken away by the cloud. */
    DRAINED,

    /** Another task of its gang was lost, which ends the attempt of the whole gang. */
    GANG,
}
