package plankwall.core.api

import plankwall.core.election.Leadership
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.RequestId
import plankwall.model.JobSpec
import plankwall.wire.JobProgress

/**
 * The users' API, served by every node directly from the state service. Each answer is based on a read that began after
 * the request arrived, except for the outcomes of jobs, which never change and are cached, and the progress of live
 * jobs, which may lag.
 *
 * @param progressOf returns the progress of a live job by its id, or null if it is unknown
 * @param onJobOver called with the id of a job that is no longer live
 * @param keepFacts whether to keep for each live job the facts that authorization rules evaluate
 */
class JobApi(
    ctx: Context,
    leadership: Leadership,
    catalogCache: CatalogCache,
    progressOf: (job: String) -> JobProgress?,
    onJobOver: (job: String) -> Unit,
    keepFacts: Boolean = false,
) {
    private val finalStages = FinalStages(ctx)
    private val admission = RequestAdmission(ctx, leadership.reachability, finalStages)
    private val jobCache = JobCache(ctx, keepFacts, leadership.cancellations, finalStages, onJobOver)
    private val submitHandler: SubmitHandler
    private val statusHandler: StatusHandler
    private val cancelHandler: CancelHandler

    init {
        val lookup = JobLookup(ctx, jobCache, finalStages)
        val recordSize = JobRecordSize(ctx)
        val views = JobViews(jobCache, leadership.cancellations, progressOf)
        val stateResolver = JobStateResolver(admission, lookup, jobCache)
        submitHandler = SubmitHandler(
            ctx,
            admission,
            lookup,
            SubmissionCheck(ctx, catalogCache, recordSize),
            DependencyCheck(jobCache, lookup, admission),
            ResubmissionResponder(stateResolver, views),
            views,
        )
        statusHandler = StatusHandler(admission, jobCache, lookup, stateResolver, views)
        cancelHandler = CancelHandler(ctx, admission, lookup, recordSize, views)
    }

    /** Whether job [id] is live as of this node's last read of the store, which may lag behind. */
    fun isLive(id: String): Boolean = jobCache.isLive(id)

    /**
     * Checks and accepts the job [spec] and answers [request]. A repeated submission of a job that was accepted before
     * is answered with its state. [caller] is null without access control, here and below.
     */
    fun submit(request: RequestId, spec: JobSpec, caller: Caller? = null) = submitHandler.handle(request, spec, caller)

    /** Answers [request] with the status of job [id]. */
    fun show(request: RequestId, id: String, caller: Caller? = null) = statusHandler.handle(request, id, caller)

    /** Cancels job [id] and answers [request]. */
    fun cancel(request: RequestId, id: String, caller: Caller? = null) = cancelHandler.handle(request, id, caller)

    /** Reads the changes of live jobs from the store and adapts the rate limit; to be called on each tick. */
    fun tick() {
        jobCache.tick()
        admission.tick()
    }
}
