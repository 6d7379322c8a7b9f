package plankwall.core.api

import plankwall.core.statemachine.Context
import plankwall.wire.FinalRecord
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** What the store says of a job. */
sealed interface JobLookupResult {
    data object Unreadable : JobLookupResult

    data object Absent : JobLookupResult

    class Live(val record: JobRecord, val version: Long) : JobLookupResult

    class Final(val record: FinalRecord) : JobLookupResult
}

/** Looks jobs up in the store. Only what never changes is remembered: how jobs ended. */
class JobLookup(private val ctx: Context, private val jobCache: JobCache) {
    private val finals = object : LinkedHashMap<String, FinalRecord>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, FinalRecord>): Boolean = size > MAX_FINALS
    }

    fun ended(id: String): FinalRecord? = finals[id]

    /**
     * Reads the live record, then the final one. A job moves from the first to the second in one transaction, so one
     * that is in neither when read in this order had not been accepted when the first read was made.
     */
    fun lookUp(id: String, then: (JobLookupResult) -> Unit) = ctx.out.state(StateOp.Get(Keys.job(id))) { live ->
        val item = (live as? StateResult.Item)?.item
        val record = item?.value as? JobRecord
        when {
            live !is StateResult.Item -> then(JobLookupResult.Unreadable)
            item != null && record != null -> then(JobLookupResult.Live(record, item.version))
            else -> readFinal(id, then)
        }
    }

    fun readFinal(id: String, then: (JobLookupResult) -> Unit) = ctx.out.state(StateOp.Get(Keys.final(id))) { final ->
        val over = (final as? StateResult.Item)?.item?.value as? FinalRecord
        if (over != null) finals[id] = over
        then(
            if (final !is StateResult.Item) {
                JobLookupResult.Unreadable
            } else if (over !=
                null
            ) {
                JobLookupResult.Final(over)
            } else {
                JobLookupResult.Absent
            },
        )
    }

    /** Those of [names] that are not surely accepted, going by what this node has read so far. */
    fun unheardOf(names: List<String>): List<String> = names.filter { !jobCache.isLive(it) && it !in finals }

    /** What must be read before it can be said whether the live job [id] is withdrawn through one that it needs. */
    fun unsettled(id: String): List<String> {
        if (jobCache.isCancelled(id)) return emptyList()
        val (known, unknown) = jobCache.unsettled(id).partition { it in finals }
        known.forEach { name -> finals[name]?.let { jobCache.settle(name, it.stage) } }
        return if (jobCache.isCancelled(id)) emptyList() else unknown
    }

    /** Reads how [names] ended, all at once; [then] learns which had no end, or null if one could not be read. */
    fun readEnds(names: List<String>, then: (without: List<String>?) -> Unit) {
        var left = names.size
        var readable = true
        val without = ArrayList<String>()
        for (name in names) {
            readFinal(name) { found ->
                if (found is JobLookupResult.Unreadable) readable = false
                if (found is JobLookupResult.Absent) without.add(name)
                if (--left == 0) then(if (readable) without else null)
            }
        }
        if (names.isEmpty()) then(without)
    }

    private companion object {
        const val MAX_FINALS = 5_000
    }
}
