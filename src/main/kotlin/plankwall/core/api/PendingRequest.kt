package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.RequestId
import plankwall.model.JobFacts
import plankwall.model.JobView
import plankwall.wire.JobCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * A user's request in flight; it is answered exactly once.
 *
 * An answer is valid only until the request's deadline. A node that was paused for a minute may hold data that another
 * node's answers have superseded since, and the user has given up waiting; an answer after the deadline is therefore
 * replaced by a 503.
 *
 * @property caller the authenticated caller; null without access control, where all actions are allowed and no
 *   decision is recorded
 * @param timeoutS seconds from now to the deadline
 * @param finalStages decides whether an answer about a job may still be sent
 * @param onlyOthersCanServe returns whether other nodes reach the state service and this one does not; the caller of a
 *   request answered with 503 is then asked to reconnect through the load balancer instead of reusing its connection
 * @param onAnswered called once, just before the answer is sent
 */
internal class PendingRequest(
    private val ctx: Context,
    private val request: RequestId,
    val caller: Caller?,
    private val timeoutS: Double,
    private val finalStages: FinalStages,
    private val onlyOthersCanServe: () -> Boolean,
    private val onAnswered: () -> Unit,
) {
    private val startedAt = ctx.now
    private var isAnswered = false

    /** Sends an answer without recording a decision; does nothing if the request has been answered already. */
    fun answer(status: Int, body: ByteArray, retryAfterS: Int? = null) {
        if (isAnswered) return
        isAnswered = true
        onAnswered()
        if (ctx.now - startedAt > timeoutS) {
            ctx.out.answer(request, 503, DEADLINE_EXCEEDED, 1, closeConnection = true)
        } else {
            ctx.out.answer(request, status, body, retryAfterS, closeConnection = status == 503 && onlyOthersCanServe())
        }
    }

    /**
     * Answers with [status] and the state [view] of a job, in the form that [encode] gives it. If the job has ended
     * since [view] was read, its final state is sent instead.
     */
    fun answerJob(status: Int, view: JobView, encode: (JobView) -> ByteArray = JobCodec::accepted) {
        if (isAnswered) return
        val latestView = finalStages.latest(view, startedAt)
        if (latestView == null) {
            rejectTemporarily("the state of ${view.id} can't be told")
        } else {
            log.debug(
                "state told request={} job={} status={} stage={} read_stage={} asked_s_ago={}",
                request.value,
                view.id,
                status,
                latestView.stage,
                view.stage,
                ctx.now - startedAt,
            )
            answer(status, encode(latestView))
        }
    }

    /** Answers 429: the rate limit is reached. */
    fun rejectRateLimited() = answer(429, JobCodec.error("too many requests"), 1)

    /** Answers 503 with [reason]: the caller should retry. */
    fun rejectTemporarily(reason: String) = answer(503, JobCodec.error(reason), 1)

    /** Answers 503: a read of the state service failed. */
    fun rejectUnreadable() = rejectTemporarily("the state service can't be read")

    /**
     * Records the decision on [requested] in the audit log and answers with [status] and [body] once it is stored, or
     * with 503 if it could not be stored.
     */
    fun recordAndAnswer(requested: RequestedAction, status: Int, body: ByteArray) =
        record(requested, status) { answer(status, body) }

    /** Records the decision on [requested] and then answers with the state [view] of its job, see [answerJob]. */
    fun recordAndAnswer(
        requested: RequestedAction,
        status: Int,
        view: JobView,
        encode: (JobView) -> ByteArray = JobCodec::accepted,
    ) = record(requested, status) { answerJob(status, view, encode) }

    private fun record(requested: RequestedAction, status: Int, onRecorded: () -> Unit) {
        val decision = requested.decisionFor(status)
        if (caller == null || decision == null) {
            onRecorded()
            return
        }
        caller.record(decision) { stored ->
            if (stored) onRecorded() else rejectTemporarily("the decision can't be recorded now")
        }
    }

    /**
     * Authorizes the caller for [action] on [job] by the rules of the access policy, which evaluate [facts]. Returns
     * null if the action is denied; the denial is then recorded and answered. [facts] is null for a job that does
     * not exist or whose owner is unknown, so that a denial does not reveal which of the two it is.
     */
    fun authorize(action: Action, job: String, facts: JobFacts?): RequestedAction? {
        if (caller == null) return RequestedAction(action, job, null)
        val requested = RequestedAction(action, job, caller.authorize(action, facts))
        if (requested.verdict?.allowed == true) return requested
        recordAndAnswer(requested, 403, JobCodec.error("you may not ${action.word} $job"))
        return null
    }

    /**
     * Stores [txn], which makes the change that [requested] asks for, and with access control also the decision on it,
     * in one transaction. [status] is what the caller will be answered if it commits; the answer itself is left to
     * [onResult].
     */
    fun commit(requested: RequestedAction, status: Int, txn: StateOp.Txn, onResult: (StateResult) -> Unit) {
        val decision = requested.decisionFor(status)
        if (caller == null || decision == null) {
            ctx.out.state(txn, onResult)
        } else {
            caller.change(decision, txn, onResult)
        }
    }

    companion object {
        /** The time that users wait for the status of a job, in seconds, as the protocol specifies. */
        const val STATUS_TIMEOUT_S = 2.0

        /** The time that users wait for a submission or a cancellation, in seconds, as the protocol specifies. */
        const val CHANGE_TIMEOUT_S = 5.0
        private val log = LoggerFactory.getLogger("api")
        private val DEADLINE_EXCEEDED = JobCodec.error("the answer would come too late")
    }
}
