package plankwall.core.statemachine

import plankwall.model.JobSpec
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.HeartbeatStatus
import plankwall.wire.PeerMessage
import plankwall.wire.StateOp
import plankwall.wire.StateResult

@JvmInline
value class RequestId(val value: Long)

@JvmInline
value class CallId(val value: Long)

/** Everything that can happen to a controller. */
sealed interface Input {
    data object Tick : Input

    data class Submit(val request: RequestId, val spec: JobSpec, val credentials: Credentials? = null) : Input

    data class Show(val request: RequestId, val jobId: String, val credentials: Credentials? = null) : Input

    data class Cancel(val request: RequestId, val jobId: String, val credentials: Credentials? = null) : Input

    /** About the rights or the trail; there is an answer only where a [AccessCheck] stands. */
    data class Admin(val request: RequestId, val asked: AdminRequest, val credentials: Credentials) : Input

    data class HealthCheck(val request: RequestId) : Input

    /** [from]: the address that the report came from; empty where nobody looks at it. */
    data class Heartbeat(val request: RequestId, val report: HeartbeatStatus, val from: String = "") : Input

    data class StateReply(val call: CallId, val result: StateResult) : Input

    data class CloudReply(val call: CallId, val result: CloudResult) : Input

    /** The body of a worker's answer to a direct command; null if there was none that could be read. */
    data class WorkerReply(val machine: String, val report: HeartbeatStatus?) : Input

    data class PeerMessageReceived(val message: PeerMessage) : Input
}

/** Everything that a controller can do about it. */
sealed interface Effect {
    /** [close]: the caller had better make a new connection for what comes next. */
    class Answer(
        val request: RequestId,
        val status: Int,
        val body: ByteArray,
        val retryAfterS: Int? = null,
        val close: Boolean = false,
    ) : Effect

    data class StateCall(val call: CallId, val op: StateOp) : Effect

    data class CloudCall(val call: CallId, val op: CloudOp) : Effect

    class WorkerPost(val machine: String, val address: String, val body: ByteArray) : Effect

    /** [to]: the node that it is for; null for all. */
    data class PeerSend(val message: PeerMessage, val to: String? = null) : Effect
}
