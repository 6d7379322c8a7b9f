package plankwall.core.api

import plankwall.core.election.Leadership
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.RequestId
import plankwall.model.JobSpec
import plankwall.wire.JobProgress

/**
 * The users' API, served by every node directly from the state service: each answer rests on what was stored after the
 * request arrived, except for the outcomes of jobs, which never change.
 *
 * @param progressOf the progress of a live job by its id, null if unknown
 * @param onJobOver called with the id of a job that is no longer live
 * @param keepFacts whether to keep what authorization rules look at for each live job
 */
class JobApi(
    ctx: Context,
    leadership: Leadership,
    capacityView: CapacityView,
    progressOf: (job: String) -> JobProgress?,
    onJobOver: (job: String) -> Unit,
    keepFacts: Boolean = false,
) {
    private val admission = RequestAdmission(ctx, leadership.reachability)
    private val jobCache = JobCache(ctx, keepFacts, leadership.cancellations, onJobOver)
    private val submitHandler: SubmitHandler
    private val statusHandler: StatusHandler
    private val cancelHandler: CancelHandler

    init {
        val lookup = JobLookup(ctx, jobCache)
        val recordSize = JobRecordSize(ctx)
        val views = JobViews(jobCache, leadership.cancellations, progressOf)
        val cancellationResolver = CancellationResolver(admission, lookup, jobCache)
        submitHandler = SubmitHandler(
            ctx,
            admission,
            lookup,
            SubmissionCheck(ctx, capacityView, recordSize),
            DependencyCheck(jobCache, lookup, admission),
            ResubmissionResponder(jobCache, lookup, cancellationResolver, views),
            views,
        )
        statusHandler = StatusHandler(admission, jobCache, lookup, cancellationResolver, views)
        cancelHandler = CancelHandler(ctx, admission, lookup, recordSize, views)
    }

    /** Whether job [id] is live as far as this node has read; the node may be behind. */
    fun isLive(id: String): Boolean = jobCache.isLive(id)

    /** Accepts a job; a repeated submission of one accepted before is answered with its state. */
    fun submit(request: RequestId, spec: JobSpec, caller: Caller? = null) = submitHandler.handle(request, spec, caller)

    /** Answers with the status of job [id]. */
    fun show(request: RequestId, id: String, caller: Caller? = null) = statusHandler.handle(request, id, caller)

    /** Cancels job [id]. */
    fun cancel(request: RequestId, id: String, caller: Caller? = null) = cancelHandler.handle(request, id, caller)

    /** Reads what has changed in the store and adapts the rate limit; to be called regularly. */
    fun tick() {
        jobCache.tick()
        admission.tick()
    }
}
