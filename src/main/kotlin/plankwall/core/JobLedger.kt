package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * Every node's copy of which jobs are live, brought up to date before each use: whoever asks waits for a read of the
 * store's changes that begins after the question came, so an answer is as new as if the job's own key had been read.
 * One such read serves all who wait for it. A read for each poll would take the state service's whole rate as soon as
 * a few hundred users poll, and the leader's writes with it.
 */
class JobLedger(private val ctx: Context, private val onOver: (String) -> Unit) {
    private val log = LoggerFactory.getLogger("front")

    /** By id of a live job: whether it is withdrawn. */
    private val live = HashMap<String, Boolean>()
    private var revision = UNREAD
    private var waiting = ArrayList<(Boolean) -> Unit>()
    private var reading = false
    private var nextRead = 0.0
    private val gapS = maxOf(MIN_GAP_S, ctx.settings.nodes / (ctx.settings.state.rps * PART_OF_RATE))

    /** Calls [then] once the copy is newer than this moment, with false if the store could not be read. */
    fun whenFresh(then: (Boolean) -> Unit) {
        waiting.add(then)
        pump()
    }

    /** Null if the job is not live. */
    fun withdrawn(id: String): Boolean? = live[id]

    fun tick() {
        // Kept warm, so that the first question after a quiet time does not find the changes gone.
        if (waiting.isEmpty() && ctx.now >= nextRead + KEEP_WARM_S) whenFresh {} else pump()
    }

    private fun pump() {
        if (reading || waiting.isEmpty() || ctx.now < nextRead) return
        reading = true
        nextRead = ctx.now + gapS
        val served = waiting
        waiting = ArrayList()
        if (revision == UNREAD) readAll(null, HashMap(), 0L, served) else readChanges(served)
    }

    private fun readChanges(served: List<(Boolean) -> Unit>) = ctx.out.state(StateOp.Changes(Keys.JOBS, revision)) { result ->
        if (result is StateResult.News) {
            for (e in result.events) note(e.key, e.value as? JobRecord, e.value == null)
            revision = maxOf(revision, result.revision)
        } else if (result == StateResult.TooOld) {
            revision = UNREAD
        }
        finish(served, result is StateResult.News)
    }

    private fun note(key: String, record: JobRecord?, removed: Boolean) {
        val id = Keys.jobId(key)
        if (record != null) {
            live[id] = record.withdrawnMs > 0
        } else if (removed && live.remove(id) != null) {
            onOver(id)
        }
    }

    /** Pages of one reading are of different moments; the changes since the first make them one whole. */
    private fun readAll(after: String?, found: HashMap<String, Boolean>, first: Long, served: List<(Boolean) -> Unit>) {
        ctx.out.state(StateOp.Range(Keys.JOBS, after, PAGE)) { result ->
            if (result !is StateResult.Items) {
                finish(served, false)
                return@state
            }
            result.items.forEach { item -> keep(item, found) }
            val from = if (after == null) result.revision else first
            if (result.more && result.items.isNotEmpty()) {
                readAll(result.items.last().key, found, from, served)
            } else {
                live.clear()
                live.putAll(found)
                revision = from
                log.debug("{} live jobs read at {}", live.size, from)
                readChanges(served)
            }
        }
    }

    private fun keep(item: StateItem, found: HashMap<String, Boolean>) {
        (item.value as? JobRecord)?.let { found[Keys.jobId(item.key)] = it.withdrawnMs > 0 }
    }

    private fun finish(served: List<(Boolean) -> Unit>, fresh: Boolean) {
        reading = false
        served.forEach { it(fresh) }
        pump()
    }

    private companion object {
        const val UNREAD = -1L
        const val PAGE = 400
        const val MIN_GAP_S = 0.1
        const val PART_OF_RATE = 0.2
        const val KEEP_WARM_S = 4.0
    }
}
