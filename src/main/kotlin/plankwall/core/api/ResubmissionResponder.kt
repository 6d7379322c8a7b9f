package plankwall.core.api

import plankwall.core.statemachine.Action
import plankwall.wire.FinalRecord

/** Answers submissions of jobs that were accepted before, with the job's state: submissions are idempotent. */
internal class ResubmissionResponder(private val stateResolver: JobStateResolver, private val views: JobViews) {
    /** Answers [pending] with the state of job [id], for which a look-up returned [found]. */
    fun answer(pending: PendingRequest, id: String, found: JobLookupResult) {
        when (found) {
            is JobLookupResult.Final -> answerEnded(pending, id, found.record)
            is JobLookupResult.Live -> answerLive(pending, id, found)
            else -> pending.rejectUnreadable()
        }
    }

    /** Answers [pending] with the outcome of job [id]. */
    fun answerEnded(pending: PendingRequest, id: String, record: FinalRecord) {
        val authorizedAction = pending.authorize(Action.RESUBMIT, id, record.facts) ?: return
        pending.recordAndAnswer(authorizedAction, 200, views.ofEnded(id, record))
    }

    /**
     * Answers [pending] with the state of the live job [id]. Another node may already have told a user that the job is
     * cancelled because of a dependency, and a later answer must not contradict that. So the answer for a job with
     * dependencies uses a read of the store that began after the request arrived.
     */
    private fun answerLive(pending: PendingRequest, id: String, found: JobLookupResult.Live) {
        val authorizedAction = pending.authorize(Action.RESUBMIT, id, found.facts) ?: return
        val isCancelled = found.record.cancelledMs > 0
        if (isCancelled || found.record.spec.dependencies.isEmpty()) {
            val view = if (isCancelled) views.ofCancelled(id) else views.ofLive(id)
            pending.recordAndAnswer(authorizedAction, 200, view)
            return
        }
        stateResolver.resolve(pending, id) { state ->
            when (state) {
                JobState.Absent -> pending.rejectUnreadable()
                JobState.Active -> pending.recordAndAnswer(authorizedAction, 200, views.ofLive(id))
                JobState.Cancelled -> pending.recordAndAnswer(authorizedAction, 200, views.ofCancelled(id))
                is JobState.Ended -> answerEnded(pending, id, state.record)
            }
        }
    }
}
