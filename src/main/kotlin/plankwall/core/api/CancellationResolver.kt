package plankwall.core.api

/** Determines whether a live job is cancelled because a job that it depends on is. */
internal class CancellationResolver(
    private val admission: RequestAdmission,
    private val lookup: JobLookup,
    private val jobCache: JobCache,
) {
    /**
     * Calls [onResolved] with whether the live job [id] is cancelled, or rejects [pending] if the state service can't
     * be read or the rate limit is reached. The result follows from the records of the jobs that it depends on, so no
     * node has to wait until the leader has stored the cancellation. The final records of those that are over with an
     * outcome unknown here are read first.
     */
    fun resolve(pending: PendingRequest, id: String, onResolved: (cancelled: Boolean) -> Unit) {
        val unresolved = lookup.unresolvedDependencies(id)
        if (unresolved.isNotEmpty() && !admission.tryTakeOrBorrowCalls(unresolved.size)) {
            pending.rejectRateLimited()
            return
        }
        lookup.readFinalRecords(unresolved) { absentIds ->
            if (absentIds == null) {
                pending.rejectUnreadable()
            } else {
                // Called only because it passes the outcomes just read on to the job cache.
                lookup.unresolvedDependencies(id)
                onResolved(jobCache.isCancelled(id))
            }
        }
    }
}
