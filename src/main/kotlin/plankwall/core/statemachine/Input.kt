package plankwall.core.statemachine

import plankwall.model.JobSpec
import plankwall.wire.CloudResult
import plankwall.wire.HeartbeatStatus
import plankwall.wire.PeerMessage
import plankwall.wire.StateResult

/** Everything that can happen to a controller. */
sealed interface Input {
    /** Some time has passed; comes several times a second. */
    data object Tick : Input

    /** A user submits a job. */
    data class Submit(val request: RequestId, val spec: JobSpec, val credentials: Credentials? = null) : Input

    /** A user asks for the status of a job. */
    data class Show(val request: RequestId, val jobId: String, val credentials: Credentials? = null) : Input

    /** A user cancels a job. */
    data class Cancel(val request: RequestId, val jobId: String, val credentials: Credentials? = null) : Input

    /** A request about the access policy or the audit log; only answered where an [AccessCheck] is configured. */
    data class Admin(val request: RequestId, val asked: AdminRequest, val credentials: Credentials) : Input

    /** A load balancer asks whether this node can take requests. */
    data class HealthCheck(val request: RequestId) : Input

    /** A worker's heartbeat. [from]: the address that it came from; empty where that is not checked. */
    data class Heartbeat(val request: RequestId, val report: HeartbeatStatus, val from: String = "") : Input

    /** The state service's reply to a call. */
    data class StateReply(val call: CallId, val result: StateResult) : Input

    /** The cloud's reply to a call. */
    data class CloudReply(val call: CallId, val result: CloudResult) : Input

    /** The body of a worker's answer to a direct command; null if there was none or it could not be read. */
    data class WorkerReply(val machine: String, val report: HeartbeatStatus?) : Input

    /** A message from another controller node. */
    data class PeerMessageReceived(val message: PeerMessage) : Input
}
