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
        lookup.cachedFinalRecord(id)?.let {
            answerEnded(admission.open(request, caller), id, it)
            return
        }
        // Counts as no call of the state service: the read of the live jobs is shared by all requests that wait for it.
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
        cancellationResolver.resolve(pending, id) { isCancelled ->
            val view = if (isCancelled) views.ofCancelled(id) else views.ofLive(id)
            pending.recordAndAnswer(requested, 200, JobCodec.view(view))
        }
    }

    /**
     * Answers [pending] for a job that is over or was never accepted. The transaction that deletes a job's live record
     * stores its final one, so that a job that is over has a final record by now.
     */
    private fun answerNotLive(pending: PendingRequest, id: String) {
        val cachedRecord = lookup.cachedFinalRecord(id)
        when {
            cachedRecord != null -> answerEnded(pending, id, cachedRecord)
            !admission.tryTakeCalls(1) -> pending.rejectRateLimited()
            else -> lookup.readFinalRecord(id) { found ->
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
