package plankwall.core.api

import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.Verdict
import plankwall.model.JobFacts
import plankwall.model.JobView
import plankwall.wire.JobCodec

/** That the rights allow it, or that there are none ([verdict] null). */
internal class RequestedAction(val action: Action, val job: String, val verdict: Verdict?)

/**
 * A request at the front desk, answered once. [caller]: null where nobody has to prove who he is; he may do anything
 * then, and nothing is recorded. [othersCan]: other nodes have the state service and this one does not; a caller that
 * is refused is to come back through the load balancer then, rather than over a connection that leads here again.
 *
 * What a node read before it stood still for a minute is no answer any more: its user has given up after [timeoutS]
 * and may have been told more by another node since. So whatever would be said later than that is not said.
 */
internal class PendingRequest(
    private val ctx: Context,
    private val request: RequestId,
    val caller: Caller?,
    private val timeoutS: Double,
    private val othersCan: () -> Boolean,
    private val closed: () -> Unit,
) {
    private val begunAt = ctx.now
    private var answered = false

    fun answer(status: Int, body: ByteArray, retryAfterS: Int? = null) {
        if (answered) return
        answered = true
        closed()
        if (ctx.now - begunAt > timeoutS) {
            ctx.out.answer(request, 503, TOO_LATE, 1, close = true)
        } else {
            ctx.out.answer(request, status, body, retryAfterS, close = status == 503 && othersCan())
        }
    }

    fun tooMany() = answer(429, JobCodec.error("too many requests"), 1)

    fun later(why: String) = answer(503, JobCodec.error(why), 1)

    fun unread() = later("the state service can't be read")

    /** Tells what was decided, once the trail has it. */
    fun respond(allowed: RequestedAction, status: Int, body: ByteArray) {
        if (caller == null || allowed.verdict == null) {
            answer(status, body)
            return
        }
        caller.record(Decision(allowed.action, allowed.job, allowed.verdict, status)) { stored ->
            if (stored) answer(status, body) else later("the decision can't be recorded now")
        }
    }

    fun accepted(allowed: RequestedAction, status: Int, view: JobView) =
        respond(allowed, status, JobCodec.accepted(view))

    /**
     * What the rights say of [action] on [job] with [facts]; null if it was denied, which is being told then. Facts are
     * null for a job that does not exist or whose owner nobody knows, so that a denial does not tell the two apart.
     */
    fun authorize(action: Action, job: String, facts: JobFacts?): RequestedAction? {
        if (caller == null) return RequestedAction(action, job, null)
        val verdict = caller.authorize(action, facts)
        if (verdict.allowed) return RequestedAction(action, job, verdict)
        respond(RequestedAction(action, job, verdict), 403, JobCodec.error("you may not ${action.word} $job"))
        return null
    }

    companion object {
        /** How long users wait for an answer (PROTOCOL): for a look at a job, and for a change. */
        const val LOOK_S = 2.0
        const val CHANGE_S = 5.0
        private val TOO_LATE = JobCodec.error("the answer would come too late")
    }
}
