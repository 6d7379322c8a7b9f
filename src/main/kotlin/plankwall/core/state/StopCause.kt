package plankwall.core.state

/** Why a placement is being ended. */
enum class StopCause {
    /** The user cancelled the job, or it depends on one that was cancelled. */
    CANCELLED,

    /** Its capacity goes to other work. */
    PREEMPTED,

    /** Its machine is being drained or moved off. */
    DRAINED,

    /** Another task of its gang was lost, which ends the whole attempt. */
    GANG,
}
