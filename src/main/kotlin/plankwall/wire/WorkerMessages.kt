package plankwall.wire

/** What a task is doing, as its worker reports it. */
enum class TaskStage { FETCHING, WAITING, RUNNING, SAVING, EXITED }

/**
 * Why a task exited. [PEER_LOST]: another task of its gang disappeared. [GANG_INCOMPLETE]: its gang was not complete
 * in time. [INSUFFICIENT_RESOURCES] and [OTHER_ATTEMPT_PRESENT]: the machine refused to start it. Frames carry the
 * ordinal.
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

/** One task in a heartbeat. [cause]: of a task that exited. [saved]: whether its checkpoint was saved. */
data class TaskStatus(
    val jobId: String,
    val task: Int,
    val attempt: Long,
    val stage: TaskStage,
    val cause: ExitCause?,
    val saved: Boolean,
)

/**
 * A worker's heartbeat. [session] is the agent epoch, which rises whenever the worker's lease expires; ([session],
 * [seq]) orders the heartbeats of one machine. [token]: the highest fencing token that the worker has seen. [noticeS]:
 * seconds until a spot machine is preempted, null without a notice.
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

/** What a worker is to do with a task; [word] is the protocol's. */
enum class OrderOp(val word: String) { START("run"), STOP("stop"), FORGET("clear") }

/** A command to a worker about one attempt of a task. [graceS]: of a stop, seconds to save a checkpoint in. */
data class Order(val op: OrderOp, val jobId: String, val task: Int, val attempt: Long, val graceS: Double = 0.0)
