package plankwall.core.statemachine

import plankwall.model.JobSpec
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.PeerMessage
import plankwall.wire.Report
import plankwall.wire.StateOp
import plankwall.wire.StateResult

@JvmInline
value class RequestId(val value: Long)

@JvmInline
value class CallId(val value: Long)

/** Everything that can happen to a controller. */
sealed interface Input {
    data object Tick : Input

    data class Submit(val request: RequestId, val spec: JobSpec, val proof: Proof? = null) : Input

    data class Show(val request: RequestId, val jobId: String, val proof: Proof? = null) : Input

    data class Withdraw(val request: RequestId, val jobId: String, val proof: Proof? = null) : Input

    /** About the rights or the trail; there is an answer only where a [Gate] stands. */
    data class Keep(val request: RequestId, val asked: KeeperRequest, val proof: Proof) : Input

    data class Up(val request: RequestId) : Input

    /** [from]: the address that the report came from; empty where nobody looks at it. */
    data class CheckIn(val request: RequestId, val report: Report, val from: String = "") : Input

    data class StateReply(val call: CallId, val result: StateResult) : Input

    data class CloudReply(val call: CallId, val result: CloudResult) : Input

    /** The body of a worker's answer to a direct command; null if there was none that could be read. */
    data class WorkerReply(val machine: String, val report: Report?) : Input

    data class PeerHeard(val message: PeerMessage) : Input
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
