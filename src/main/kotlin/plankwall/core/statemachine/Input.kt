package plankwall.core.statemachine

import plankwall.model.JobSpec
import plankwall.wire.CloudResult
import plankwall.wire.HeartbeatStatus
import plankwall.wire.PeerMessage
import plankwall.wire.StateResult

/** An event that a controller handles. */
sealed interface Input {
    /** Time has passed; arrives several times a second. */
    data object Tick : Input

    /** A user submits a job. */
    data class Submit(val request: RequestId, val spec: JobSpec, val credentials: Credentials? = null) : Input

    /** A user asks for the state of a job. */
    data class Show(val request: RequestId, val jobId: String, val credentials: Credentials? = null) : Input

    /** A user cancels a job. */
    data class Cancel(val request: RequestId, val jobId: String, val credentials: Credentials? = null) : Input

    /**
     * A caller asks about the access policy or the audit log; [adminRequest] says for what. Only handled where an
     * [AccessCheck] is configured.
     */
    data class Admin(val request: RequestId, val adminRequest: AdminRequest, val credentials: Credentials) : Input

    /** A load balancer asks whether this node can take requests. */
    data class HealthCheck(val request: RequestId) : Input

    /**
     * A worker sends a heartbeat.
     *
     * @property from the network address that it came from; empty where that is not checked
     */
    data class Heartbeat(val request: RequestId, val heartbeat: HeartbeatStatus, val from: String = "") : Input

    /** The state service replies to the call [call]. */
    data class StateReply(val call: CallId, val result: StateResult) : Input

    /** The cloud replies to the call [call]. */
    data class CloudReply(val call: CallId, val result: CloudResult) : Input

    /**
     * The worker on [machine] answers a direct command.
     *
     * @property heartbeat the heartbeat in the answer; null if there was no answer or it could not be read
     */
    data class WorkerReply(val machine: String, val heartbeat: HeartbeatStatus?) : Input

    /** Another controller node sends a message. */
    data class PeerMessageReceived(val message: PeerMessage) : Input
}
