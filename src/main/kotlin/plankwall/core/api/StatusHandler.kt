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
    private val stateResolver: JobStateResolver,
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
        stateResolver.resolve(pending, id) { state ->
            when (state) {
                JobState.Absent -> answerUnknown(pending, id)
                JobState.Active -> answerLive(pending, id, isCancelled = false)
                JobState.Cancelled -> answerLive(pending, id, isCancelled = true)
                is JobState.Ended -> answerEnded(pending, id, state.record)
            }
        }
    }

    private fun answerLive(pending: PendingRequest, id: String, isCancelled: Boolean) {
        val requested = pending.authorize(Action.SHOW, id, jobCache.factsOf(id)) ?: return
        val view = if (isCancelled) views.ofCancelled(id) else views.ofLive(id)
        pending.recordAndAnswer(requested, 200, view, JobCodec::view)
    }

    private fun answerEnded(pending: PendingRequest, id: String, record: FinalRecord) {
        val requested = pending.authorize(Action.SHOW, id, record.facts) ?: return
        pending.recordAndAnswer(requested, 200, views.ofEnded(id, record), JobCodec::view)
    }

    private fun answerUnknown(pending: PendingRequest, id: String) {
        val requested = pending.authorize(Action.SHOW, id, null) ?: return
        pending.recordAndAnswer(requested, 404, JobCodec.error("no such job"))
    }
}
