package plankwall.wire

/** The stage of a task, as its worker reports it. Frames carry the ordinal. */
enum class TaskStage { FETCHING, WAITING, RUNNING, SAVING, EXITED }

/**
 * The reason why a task exited. [PEER_LOST]: another task of its gang disappeared. [GANG_INCOMPLETE]: not all tasks of
 * its gang were there in time. [INSUFFICIENT_RESOURCES] and [OTHER_ATTEMPT_PRESENT]: the machine refused to start the
 * task, since it lacks free resources or still has another attempt of the task. Frames carry the ordinal.
 */
enum class ExitCause {
    DONE,
    STOPPED,
    PEER_LOST,
    GANG_INCOMPLETE,
    ERROR,
    INSUFFICIENT_RESOURCES,
    OTHER_ATTEMPT_PRESENT,
    UNKNOWN,
}

/**
 * The status of one attempt of a task in a heartbeat. [cause]: the reason why it exited; null while it has not exited.
 * [saved]: whether its checkpoint was saved.
 */
data class TaskStatus(
    val jobId: String,
    val task: Int,
    val attempt: Long,
    val stage: TaskStage,
    val cause: ExitCause?,
    val saved: Boolean,
)

/**
 * A worker's heartbeat. The pair of [session] and [seq] orders the heartbeats of one machine.
 *
 * @property session the agent epoch, which rises whenever the worker's lease expires
 * @property seq the sequence number of the heartbeat
 * @property token the highest fencing token that the worker has seen
 * @property noticeS the seconds until the cloud preempts this spot machine; null without a preemption notice
 */
data class HeartbeatStatus(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val session: Long,
    val seq: Long,
    val token: Long,
    val noticeS: Double?,
    val tasks: List<TaskStatus>,
)

/** The action that a worker has to perform on a task. [word]: the protocol's word for it. */
enum class OrderOp(val word: String) { START("run"), STOP("stop"), FORGET("clear") }

/**
 * A command to a worker about one attempt of a task. [graceS]: for [OrderOp.STOP], the seconds that the task has to
 * save a checkpoint.
 */
data class Order(val op: OrderOp, val jobId: String, val task: Int, val attempt: Long, val graceS: Double = 0.0)
