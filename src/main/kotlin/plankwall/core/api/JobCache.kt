package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.core.cancellations.Cancellations
import plankwall.core.state.DependencyGraph
import plankwall.core.statemachine.Context
import plankwall.model.JobFacts
import plankwall.model.JobStage
import plankwall.model.factsFor
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
class JobCache(
    private val ctx: Context,
    private val keepFacts: Boolean = false,
    private val cancellations: Cancellations? = null,
    private val onOver: (String) -> Unit,
) {
    private val log = LoggerFactory.getLogger("front")

    private val live = HashSet<String>()
    private val dependencies = DependencyGraph()

    /** What rights may ask of the live jobs; kept only where there are rights. */
    private val facts = HashMap<String, JobFacts>()
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

    fun isLive(id: String): Boolean = id in live

    fun factsOf(id: String): JobFacts? = facts[id]

    /**
     * Whether a live job is withdrawn, by its user or through a job that it needs, as far as their ends are known here.
     */
    fun isCancelled(id: String): Boolean = dependencies.isCancelled(id)

    /** Jobs that [id] needs and that are over: until it is known how, nobody can say whether [id] is withdrawn. */
    fun unsettled(id: String): Set<String> = dependencies.unresolved(id) { it !in live }

    /** What a live job still waits for, as far as known here. */
    fun openOf(id: String): List<String> = dependencies.unfinishedOf(id).toList()

    /** How a job that others need has ended. */
    fun settle(id: String, stage: JobStage) {
        if (stage == JobStage.DONE) dependencies.markDone(id) else dependencies.markCancelled(id)
        dependencies.forget(id)
    }

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
        if (revision == UNREAD) readAll(null, ArrayList(), 0L, served) else readChanges(served)
    }

    private fun readChanges(served: List<(Boolean) -> Unit>) {
        val begunAt = ctx.now
        ctx.out.state(StateOp.Changes(Keys.JOBS, revision)) { result -> changed(result, begunAt, served) }
    }

    private fun changed(result: StateResult, begunAt: Double, served: List<(Boolean) -> Unit>) {
        if (result is StateResult.News) {
            for (e in result.events) {
                val record = e.value as? JobRecord
                if (record != null) {
                    keep(Keys.jobId(e.key), record)
                } else if (e.value == null) {
                    drop(Keys.jobId(e.key))
                }
            }
            revision = maxOf(revision, result.revision)
            cancellations?.readUpTo(begunAt)
        } else if (result == StateResult.TooOld) {
            revision = UNREAD
        }
        finish(served, result is StateResult.News)
    }

    private fun keep(id: String, record: JobRecord) {
        live.add(id)
        if (keepFacts) facts[id] = record.spec.factsFor(record.owner)
        dependencies.add(id, record.spec.dependencies)
        if (record.cancelledMs > 0) {
            dependencies.markCancelled(id)
            cancellations?.learn(id)
        }
    }

    private fun drop(id: String) {
        dependencies.forget(id)
        facts.remove(id)
        cancellations?.onJobEnded(id)
        if (live.remove(id)) onOver(id)
    }

    /** Pages of one reading are of different moments; the changes since the first make them one whole. */
    private fun readAll(after: String?, found: ArrayList<StateItem>, first: Long, served: List<(Boolean) -> Unit>) {
        ctx.out.state(StateOp.Range(Keys.JOBS, after, PAGE)) { result ->
            if (result !is StateResult.Items) {
                finish(served, false)
                return@state
            }
            found.addAll(result.items)
            val from = if (after == null) result.revision else first
            if (result.more && result.items.isNotEmpty()) {
                readAll(result.items.last().key, found, from, served)
            } else {
                live.clear()
                facts.clear()
                dependencies.clear()
                found.forEach { item -> (item.value as? JobRecord)?.let { keep(Keys.jobId(item.key), it) } }
                revision = from
                log.debug("{} live jobs read at {}", live.size, from)
                readChanges(served)
            }
        }
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
