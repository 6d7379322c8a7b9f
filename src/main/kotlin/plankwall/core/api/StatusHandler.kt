package plankwall.core.api

import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.RequestId
import plankwall.wire.FinalRecord
import plankwall.wire.JobCodec

/** Answers requests for the status of a job. */
internal class StatusHandler(
    private val admission: RequestAdmission,
    private val jobCache: JobCache,
    private val lookup: JobLookup,
    private val cancellationResolver: CancellationResolver,
    private val views: JobViews,
) {
    /** Answers [request] with the status of job [id]. */
    fun handle(request: RequestId, id: String, caller: Caller?) {
        lookup.knownFinal(id)?.let {
            answerEnded(admission.open(request, caller), id, it)
            return
        }
        val pending = admission.admit(request, 0, caller, PendingRequest.STATUS_TIMEOUT_S) ?: return
        jobCache.whenFresh { fresh ->
            when {
                !fresh -> pending.rejectUnreadable()
                jobCache.isLive(id) -> answerLive(pending, id)
                else -> answerNotLive(pending, id)
            }
        }
    }

    private fun answerLive(pending: PendingRequest, id: String) {
        val requested = pending.authorize(Action.SHOW, id, jobCache.factsOf(id)) ?: return
        cancellationResolver.resolve(pending, id) { cancelled ->
            val view = if (cancelled) views.ofCancelled(id) else views.ofLive(id)
            pending.recordAndAnswer(requested, 200, JobCodec.view(view))
        }
    }

    /**
     * A job that is over or never existed. A job leaves the live ones in the transaction that stores its final record,
     * so that record can be read by now.
     */
    private fun answerNotLive(pending: PendingRequest, id: String) {
        val known = lookup.knownFinal(id)
        when {
            known != null -> answerEnded(pending, id, known)
            !admission.tryTake(1) -> pending.rejectRateLimited()
            else -> lookup.readFinal(id) { found ->
                when (found) {
                    is JobLookupResult.Final -> answerEnded(pending, id, found.record)
                    JobLookupResult.Absent -> answerUnknown(pending, id)
                    else -> pending.rejectUnreadable()
                }
            }
        }
    }

    private fun answerEnded(pending: PendingRequest, id: String, record: FinalRecord) {
        val requested = pending.authorize(Action.SHOW, id, record.facts) ?: return
        pending.recordAndAnswer(requested, 200, JobCodec.view(views.ofEnded(id, record)))
    }

    private fun answerUnknown(pending: PendingRequest, id: String) {
        val requested = pending.authorize(Action.SHOW, id, null) ?: return
        pending.recordAndAnswer(requested, 404, JobCodec.error("no such job"))
    }
}
