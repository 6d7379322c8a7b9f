package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.wire.FinalRecord

/** The state of a job as a user may be told it. */
internal sealed interface JobState {
    /** The job was never accepted. */
    data object Absent : JobState

    /** The job is live and not cancelled. */
    data object Active : JobState

    /** The job is live and cancelled, by its user or through a job that it depends on. */
    data object Cancelled : JobState

    /** The job is over; [record] says how it ended. */
    class Ended(val record: FinalRecord) : JobState
}

/** Determines the state of jobs for the users' requests. */
internal class JobStateResolver(
    private val admission: RequestAdmission,
    private val lookup: JobLookup,
    private val jobCache: JobCache,
) {
    private val log = LoggerFactory.getLogger("api")

    /**
     * Calls [onResolved] with the state of the job [id], or rejects [pending] if the state service can't be read or the
     * rate limit is reached. The state is at least as new as the request.
     */
    fun resolve(pending: PendingRequest, id: String, onResolved: (JobState) -> Unit) = jobCache.whenFresh { fresh ->
        if (fresh) resolveCached(pending, id, emptySet(), onResolved) else pending.rejectUnreadable()
    }

    /**
     * Resolves the state of [id] by what is cached now. If that does not suffice, the missing final records are read
     * and everything is decided anew, since the job and those that it depends on may have ended during the read.
     * [absentIds]: the jobs of which a read has shown that they have no final record.
     */
    private fun resolveCached(
        pending: PendingRequest,
        id: String,
        absentIds: Set<String>,
        onResolved: (JobState) -> Unit,
    ) {
        val finalRecord = lookup.cachedFinalRecord(id)
        log.debug(
            "state being resolved job={} live={} final={} revision={} absent_dependencies={}",
            id,
            jobCache.isLive(id),
            finalRecord?.stage,
            jobCache.revision,
            absentIds.size,
        )
        when {
            finalRecord != null -> onResolved(JobState.Ended(finalRecord))
            jobCache.isLive(id) -> resolveLive(pending, id, absentIds, onResolved)
            else -> readOutcome(pending, id, onResolved)
        }
    }

    /**
     * Resolves the state of the live job [id]. Whether a job that it depends on is cancelled follows from the records
     * of those jobs, so no node has to wait until the leader has stored the cancellation.
     */
    private fun resolveLive(
        pending: PendingRequest,
        id: String,
        absentIds: Set<String>,
        onResolved: (JobState) -> Unit,
    ) {
        val unresolved = lookup.unresolvedDependencies(id) - absentIds
        when {
            unresolved.isEmpty() -> onResolved(if (jobCache.isCancelled(id)) JobState.Cancelled else JobState.Active)
            !admission.tryTakeOrBorrowCalls(unresolved.size) -> pending.rejectRateLimited()
            else -> lookup.readFinalRecords(unresolved) { absent ->
                if (absent == null) {
                    pending.rejectUnreadable()
                } else {
                    resolveCached(pending, id, absentIds + absent, onResolved)
                }
            }
        }
    }

    /**
     * Reads how the job [id] ended, which is not live. The transaction that deletes a job's live record stores its
     * final one, so a job without a final record was never accepted.
     */
    private fun readOutcome(pending: PendingRequest, id: String, onResolved: (JobState) -> Unit) {
        if (!admission.tryTakeCalls(1)) {
            pending.rejectRateLimited()
            return
        }
        lookup.readFinalRecord(id) { found ->
            when (found) {
                is JobLookupResult.Final -> onResolved(JobState.Ended(found.record))
                JobLookupResult.Absent -> onResolved(JobState.Absent)
                else -> pending.rejectUnreadable()
            }
        }
    }
}
