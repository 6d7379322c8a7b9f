package plankwall.core.api

import plankwall.core.statemachine.Action
import plankwall.wire.FinalRecord

/** Answers submissions of jobs that were accepted before: a repeated submission is idempotent. */
internal class ResubmissionResponder(
    private val jobCache: JobCache,
    private val lookup: JobLookup,
    private val cancellationResolver: CancellationResolver,
    private val views: JobViews,
) {
    /** Answers [pending] with the state of job [id], which was [found] when it was looked up. */
    fun answer(pending: PendingRequest, id: String, found: JobLookupResult) {
        when (found) {
            is JobLookupResult.Final -> answerEnded(pending, id, found.record)
            is JobLookupResult.Live -> answerLive(pending, id, found)
            else -> pending.rejectUnreadable()
        }
    }

    /** Answers [pending] with the outcome of job [id]. */
    fun answerEnded(pending: PendingRequest, id: String, record: FinalRecord) {
        val requested = pending.authorize(Action.RESUBMIT, id, record.facts) ?: return
        pending.recordAndAnswer(requested, 200, views.ofEnded(id, record))
    }

    /**
     * Another node may already have answered that the live job is cancelled because of a dependency, so a job with
     * dependencies is answered from a read that began after the request.
     */
    private fun answerLive(pending: PendingRequest, id: String, found: JobLookupResult.Live) {
        val requested = pending.authorize(Action.RESUBMIT, id, found.facts) ?: return
        val isCancelled = found.record.cancelledMs > 0
        if (isCancelled || found.record.spec.dependencies.isEmpty()) {
            pending.recordAndAnswer(requested, 200, views.ofAccepted(id, isCancelled))
            return
        }
        jobCache.whenFresh { fresh ->
            when {
                !fresh -> pending.rejectUnreadable()
                jobCache.isLive(id) -> cancellationResolver.resolve(pending, id) { cancelled ->
                    pending.recordAndAnswer(requested, 200, views.ofAccepted(id, cancelled))
                }
                else -> lookup.readFinal(id) { final ->
                    if (final is JobLookupResult.Final) answer(pending, id, final) else pending.rejectUnreadable()
                }
            }
        }
    }
}
