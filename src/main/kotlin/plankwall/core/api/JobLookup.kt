package plankwall.core.api

import plankwall.core.statemachine.Context
import plankwall.model.JobFacts
import plankwall.model.JobView
import plankwall.model.factsFor
import plankwall.wire.FinalRecord
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** The result of looking a job up in the store. */
sealed interface JobLookupResult {
    /** The state service could not be read. */
    data object Unreadable : JobLookupResult

    /** The store holds no record of the job: it had not been accepted when the look-up began. */
    data object Absent : JobLookupResult

    /** The job is live; [version] is that of its record's key, for the guard of a write. */
    class Live(val record: JobRecord, val version: Long) : JobLookupResult {
        /** The facts of the job that authorization rules evaluate. */
        val facts: JobFacts get() = record.spec.factsFor(record.owner)
    }

    /** The job is over; [record] says how it ended. */
    class Final(val record: FinalRecord) : JobLookupResult
}

/**
 * Looks jobs up in the store. Only final records are cached, since they never change.
 *
 * @param finalStages receives the outcome of each job whose final record is read
 */
class JobLookup(private val ctx: Context, private val jobCache: JobCache, private val finalStages: FinalStages) {
    private val finalRecords = object : LinkedHashMap<String, FinalRecord>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, FinalRecord>): Boolean = size > MAX_CACHED_RECORDS
    }

    /** Returns the final record of job [id] if it is cached; null says nothing about the job. */
    fun cachedFinalRecord(id: String): FinalRecord? = finalRecords[id]

    /**
     * Reads the live record of job [id] and, if there is none, its final record. One transaction replaces the former by
     * the latter, so a job for which this order of reads finds neither had not been accepted at the first read.
     */
    fun lookUp(id: String, onResult: (JobLookupResult) -> Unit) = ctx.out.state(StateOp.Get(Keys.job(id))) { result ->
        val item = (result as? StateResult.Item)?.item
        val record = item?.value as? JobRecord
        when {
            result !is StateResult.Item -> onResult(JobLookupResult.Unreadable)
            item != null && record != null -> onResult(JobLookupResult.Live(record, item.version))
            else -> readFinalRecord(id, onResult)
        }
    }

    /** Reads the final record of job [id] and caches it. The result is [JobLookupResult.Absent] if there is none. */
    fun readFinalRecord(id: String, onResult: (JobLookupResult) -> Unit) =
        ctx.out.state(StateOp.Get(Keys.final(id))) { result ->
            val item = (result as? StateResult.Item)?.item
            val record = item?.value as? FinalRecord
            if (record != null) cache(id, record, item.version)
            onResult(
                when {
                    result !is StateResult.Item -> JobLookupResult.Unreadable
                    record != null -> JobLookupResult.Final(record)
                    else -> JobLookupResult.Absent
                },
            )
        }

    private fun cache(id: String, record: FinalRecord, revision: Long) {
        finalRecords[id] = record
        finalStages.recordRead(JobView(id, record.stage, record.done, 0), "final record", revision)
    }

    /** Returns those of [ids] that nothing read by this node so far shows as accepted. */
    fun notKnownAccepted(ids: List<String>): List<String> = ids.filter { !jobCache.isLive(it) && it !in finalRecords }

    /**
     * Returns the ids of the jobs whose final records have to be read to determine whether the live job [id] is
     * cancelled through its dependencies. First passes the outcomes that are cached here on to the job cache.
     */
    fun unresolvedDependencies(id: String): List<String> {
        if (jobCache.isCancelled(id)) return emptyList()
        val (known, unknown) = jobCache.unresolvedDependencies(id).partition { it in finalRecords }
        known.forEach { dependency -> finalRecords[dependency]?.let { jobCache.onOutcome(dependency, it.stage) } }
        return if (jobCache.isCancelled(id)) emptyList() else unknown
    }

    /**
     * Reads the final records of all [ids] concurrently. Calls [onResult] with the ids that have none, or with null if
     * the store could not be read for one of them.
     */
    fun readFinalRecords(ids: List<String>, onResult: (absentIds: List<String>?) -> Unit) {
        var outstandingReads = ids.size
        var allReadable = true
        val absentIds = ArrayList<String>()
        for (id in ids) {
            readFinalRecord(id) { result ->
                if (result is JobLookupResult.Unreadable) allReadable = false
                if (result is JobLookupResult.Absent) absentIds.add(id)
                if (--outstandingReads == 0) onResult(if (allReadable) absentIds else null)
            }
        }
        if (ids.isEmpty()) onResult(absentIds)
    }

    private companion object {
        const val MAX_CACHED_RECORDS = 5_000
    }
}
