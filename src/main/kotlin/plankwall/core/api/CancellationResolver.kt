package plankwall.core.api

/** Finds out whether a live job is cancelled because a job that it depends on is. */
internal class CancellationResolver(
    private val admission: RequestAdmission,
    private val lookup: JobLookup,
    private val jobCache: JobCache,
) {
    /**
     * Calls [onResolved] with whether the live job [id] is cancelled, or rejects [pending] if that can't be read. It
     * follows from the records of the job's dependencies, so no node has to wait until the leader has stored it; where
     * a dependency is over and its outcome is not known here, its final record is read first.
     */
    fun resolve(pending: PendingRequest, id: String, onResolved: (cancelled: Boolean) -> Unit) {
        val unresolved = lookup.unresolvedDependencies(id)
        if (unresolved.isNotEmpty() && !admission.tryTakeOrBorrow(unresolved.size)) {
            pending.rejectRateLimited()
            return
        }
        lookup.readFinals(unresolved) { absent ->
            if (absent == null) {
                pending.rejectUnreadable()
            } else {
                // Takes the outcomes just read into the cache.
                lookup.unresolvedDependencies(id)
                onResolved(jobCache.isCancelled(id))
            }
        }
    }
}
