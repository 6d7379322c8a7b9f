package plankwall.core.statemachine

import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** Collects the effects of a step, and keeps the callbacks of calls until their replies arrive. */
class Outbox {
    private var effects = ArrayList<Effect>()
    private var nextCallNumber = 1L
    private val stateCalls = HashMap<CallId, (StateResult) -> Unit>()
    private val cloudCalls = HashMap<CallId, (CloudResult) -> Unit>()

    /**
     * Called with each reply of the state service before the callback of the call, to observe the link to the service.
     */
    var onState: (StateOp, StateResult) -> Unit = { _, _ -> }

    /** Called with each reply of the cloud before the callback of the call, to observe the link to the cloud. */
    var onCloud: (CloudResult) -> Unit = {}

    /** Adds [effect] to those of the current step. */
    fun add(effect: Effect) {
        effects.add(effect)
    }

    /** Answers [request]; see [Effect.Answer]. */
    fun answer(
        request: RequestId,
        status: Int,
        body: ByteArray,
        retryAfterS: Int? = null,
        closeConnection: Boolean = false,
    ) = add(Effect.Answer(request, status, body, retryAfterS, closeConnection))

    /** Calls the state service. [onResult] receives the result in a later step. */
    fun state(op: StateOp, onResult: (StateResult) -> Unit) {
        val call = CallId(nextCallNumber++)
        stateCalls[call] = { result ->
            onState(op, result)
            onResult(result)
        }
        add(Effect.StateCall(call, op))
    }

    /** Calls the cloud. [onResult] receives the result in a later step. */
    fun cloud(op: CloudOp, onResult: (CloudResult) -> Unit) {
        val call = CallId(nextCallNumber++)
        cloudCalls[call] = { result ->
            onCloud(result)
            onResult(result)
        }
        add(Effect.CloudCall(call, op))
    }

    /** Passes [result] to the callback of [call]. Does nothing if the call is unknown or was replied to already. */
    fun resume(call: CallId, result: StateResult) {
        stateCalls.remove(call)?.invoke(result)
    }

    /** Passes [result] to the callback of [call]. Does nothing if the call is unknown or was replied to already. */
    fun resume(call: CallId, result: CloudResult) {
        cloudCalls.remove(call)?.invoke(result)
    }

    /** Returns the effects added so far, in the order in which they were added, and removes them. */
    fun drain(): List<Effect> {
        val drained = effects
        effects = ArrayList()
        return drained
    }
}
