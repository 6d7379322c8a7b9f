package plankwall.core.statemachine

import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** Collects the effects of a step, and keeps the continuations of calls until their replies come. */
class Outbox {
    private var effects = ArrayList<Effect>()
    private var nextCall = 1L
    private val stateCalls = HashMap<CallId, (StateResult) -> Unit>()
    private val cloudCalls = HashMap<CallId, (CloudResult) -> Unit>()

    /** Receives each reply of the state service before the caller does, to observe the link to it. */
    var onState: (StateOp, StateResult) -> Unit = { _, _ -> }

    /** Receives each reply of the cloud before the caller does, to observe the link to it. */
    var onCloud: (CloudResult) -> Unit = {}

    /** Adds an [effect] to those of the current step. */
    fun add(effect: Effect) {
        effects.add(effect)
    }

    /** Answers [request]; see [Effect.Answer]. */
    fun answer(request: RequestId, status: Int, body: ByteArray, retryAfterS: Int? = null, close: Boolean = false) =
        add(Effect.Answer(request, status, body, retryAfterS, close))

    /** Calls the state service; [then] gets the result in a later step. */
    fun state(op: StateOp, then: (StateResult) -> Unit) {
        val call = CallId(nextCall++)
        stateCalls[call] = { result ->
            onState(op, result)
            then(result)
        }
        add(Effect.StateCall(call, op))
    }

    /** Calls the cloud; [then] gets the result in a later step. */
    fun cloud(op: CloudOp, then: (CloudResult) -> Unit) {
        val call = CallId(nextCall++)
        cloudCalls[call] = { result ->
            onCloud(result)
            then(result)
        }
        add(Effect.CloudCall(call, op))
    }

    /** Continues after the reply to [call]; a call that is unknown or was replied to already is ignored. */
    fun resume(call: CallId, result: StateResult) {
        stateCalls.remove(call)?.invoke(result)
    }

    /** Continues after the reply to [call]; a call that is unknown or was replied to already is ignored. */
    fun resume(call: CallId, result: CloudResult) {
        cloudCalls.remove(call)?.invoke(result)
    }

    /** Takes out the effects collected so far, in the order in which they were added. */
    fun drain(): List<Effect> {
        val drained = effects
        effects = ArrayList()
        return drained
    }
}
