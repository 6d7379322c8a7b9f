package plankwall.core.api

import plankwall.core.statemachine.Context
import plankwall.model.JobFacts
import plankwall.model.factsFor
import plankwall.wire.FinalRecord
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** What the store holds of a job. */
sealed interface JobLookupResult {
    /** The state service could not be read. */
    data object Unreadable : JobLookupResult

    /** The job was not accepted before the look-up began. */
    data object Absent : JobLookupResult

    /** The job is live; [version] is that of its record's key. */
    class Live(val record: JobRecord, val version: Long) : JobLookupResult {
        /** What authorization rules look at. */
        val facts: JobFacts get() = record.spec.factsFor(record.owner)
    }

    /** The job is over. */
    class Final(val record: FinalRecord) : JobLookupResult
}

/** Looks jobs up in the store. Only final records are cached, since they never change. */
class JobLookup(private val ctx: Context, private val jobCache: JobCache) {
    private val finals = object : LinkedHashMap<String, FinalRecord>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, FinalRecord>): Boolean = size > MAX_FINALS
    }

    /** The final record of job [id] if it is cached; null says nothing about the job. */
    fun knownFinal(id: String): FinalRecord? = finals[id]

    /**
     * Reads the live record, then the final one. A job moves from the first to the second in one transaction, so one
     * that is in neither when read in this order had not been accepted when the first read was made.
     */
    fun lookUp(id: String, onResult: (JobLookupResult) -> Unit) = ctx.out.state(StateOp.Get(Keys.job(id))) { result ->
        val item = (result as? StateResult.Item)?.item
        val record = item?.value as? JobRecord
        when {
            result !is StateResult.Item -> onResult(JobLookupResult.Unreadable)
            item != null && record != null -> onResult(JobLookupResult.Live(record, item.version))
            else -> readFinal(id, onResult)
        }
    }

    /** Reads the final record of job [id]; [JobLookupResult.Absent] if it has none. */
    fun readFinal(id: String, onResult: (JobLookupResult) -> Unit) =
        ctx.out.state(StateOp.Get(Keys.final(id))) { result ->
            val record = (result as? StateResult.Item)?.item?.value as? FinalRecord
            if (record != null) finals[id] = record
            onResult(
                when {
                    result !is StateResult.Item -> JobLookupResult.Unreadable
                    record != null -> JobLookupResult.Final(record)
                    else -> JobLookupResult.Absent
                },
            )
        }

    /** Those of [ids] that are not known as accepted from what this node has read so far. */
    fun notKnownAccepted(ids: List<String>): List<String> = ids.filter { !jobCache.isLive(it) && it !in finals }

    /**
     * The dependencies whose final records must be read before it is known whether the live job [id] is cancelled.
     * Outcomes that are cached here are passed on to the job cache first.
     */
    fun unresolvedDependencies(id: String): List<String> {
        if (jobCache.isCancelled(id)) return emptyList()
        val (known, unknown) = jobCache.unresolvedDependencies(id).partition { it in finals }
        known.forEach { dependency -> finals[dependency]?.let { jobCache.onOutcome(dependency, it.stage) } }
        return if (jobCache.isCancelled(id)) emptyList() else unknown
    }

    /**
     * Reads the final records of [ids], all at once. [onResult] gets those that have none, or null if one could not be
     * read.
     */
    fun readFinals(ids: List<String>, onResult: (absent: List<String>?) -> Unit) {
        var outstanding = ids.size
        var allReadable = true
        val absent = ArrayList<String>()
        for (id in ids) {
            readFinal(id) { found ->
                if (found is JobLookupResult.Unreadable) allReadable = false
                if (found is JobLookupResult.Absent) absent.add(id)
                if (--outstanding == 0) onResult(if (allReadable) absent else null)
            }
        }
        if (ids.isEmpty()) onResult(absent)
    }

    private companion object {
        const val MAX_FINALS = 5_000
    }
}
