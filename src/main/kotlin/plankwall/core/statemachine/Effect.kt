package plankwall.core.statemachine

import plankwall.wire.CloudOp
import plankwall.wire.PeerMessage
import plankwall.wire.StateOp

/**
 * An action of a controller in response to an [Input], such as an answer or a call. The controller only asks for it;
 * its surroundings carry it out.
 */
sealed interface Effect {
    /**
     * Answers a request.
     *
     * @property retryAfterS the seconds after which the caller should retry, or null
     * @property closeConnection whether the caller is asked to open a new connection for its next request
     */
    class Answer(
        val request: RequestId,
        val status: Int,
        val body: ByteArray,
        val retryAfterS: Int? = null,
        val closeConnection: Boolean = false,
    ) : Effect

    /** Calls the state service; the result comes back as [Input.StateReply]. */
    data class StateCall(val call: CallId, val op: StateOp) : Effect

    /** Calls the cloud; the result comes back as [Input.CloudReply]. */
    data class CloudCall(val call: CallId, val op: CloudOp) : Effect

    /** Sends a direct command to the worker on [machine]; its answer comes back as [Input.WorkerReply]. */
    class WorkerPost(val machine: String, val address: String, val body: ByteArray) : Effect

    /** Sends [message] to the node [to], or to all other nodes if [to] is null. */
    data class PeerSend(val message: PeerMessage, val to: String? = null) : Effect
}
