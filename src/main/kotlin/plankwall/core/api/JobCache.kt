package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.core.cancellations.Cancellations
import plankwall.core.state.DependencyGraph
import plankwall.core.statemachine.Context
import plankwall.model.JobFacts
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.model.factsFor
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * This node's copy of the set of live jobs. It is refreshed before each use: a request waits for a read of the store's
 * changes that begins after the request arrived, so its answer is as new as if the job's own key had been read. One
 * such read serves all requests that wait for it. With a read for each request, a few hundred polling users would use
 * up the state service's whole rate limit, and the leader could not write.
 *
 * @param keepFacts whether to keep for each live job the facts that authorization rules evaluate
 * @param cancellations receives each cancelled job that is read; null in tests only
 * @param finalStages receives the final stage of each cancelled job that is read
 * @param onJobOver called with the id of each job that is no longer live
 */
class JobCache(
    private val ctx: Context,
    private val keepFacts: Boolean = false,
    private val cancellations: Cancellations? = null,
    private val finalStages: FinalStages = FinalStages(ctx),
    private val onJobOver: (job: String) -> Unit,
) {
    private val log = LoggerFactory.getLogger("api")
    private val liveJobs = HashSet<String>()
    private val dependencies = DependencyGraph()
    private val factsByJob = HashMap<String, JobFacts>()

    /** The store's revision that this copy shows, or [UNREAD]. */
    var revision = UNREAD
        private set

    /** The callbacks of the requests that wait for the next read to begin. */
    private var waiters = ArrayList<(Boolean) -> Unit>()
    private var isReading = false
    private var nextReadAt = 0.0

    /** The shortest interval between the beginnings of two reads. */
    private val readIntervalS =
        maxOf(MIN_READ_INTERVAL_S, ctx.settings.nodes / (ctx.settings.state.rps * SHARE_OF_STORE_RATE))

    /**
     * Calls [onFresh] after the next read that begins from now on: with true if the copy now shows all that was stored
     * before this call, or with false if the store could not be read.
     */
    fun whenFresh(onFresh: (fresh: Boolean) -> Unit) {
        waiters.add(onFresh)
        startRead()
    }

    /** Whether job [id] is live as of the last read. */
    fun isLive(id: String): Boolean = id in liveJobs

    /** The facts of the live job [id] that authorization rules evaluate; null if not live or without access control. */
    fun factsOf(id: String): JobFacts? = factsByJob[id]

    /**
     * Whether the live job [id] is cancelled, by its user or through a job that it depends on, as far as the outcomes
     * of those are known here.
     */
    fun isCancelled(id: String): Boolean = dependencies.isCancelled(id)

    /**
     * Returns the jobs that [id] depends on, directly or through others, that have ended with an outcome that this node
     * has not read. Whether [id] is cancelled can't be determined before these outcomes are known.
     */
    fun unresolvedDependencies(id: String): Set<String> = dependencies.unresolved(id) { it !in liveJobs }

    /** Returns the ids of the dependencies that the live job [id] still waits for, as far as known here. */
    fun openDependencies(id: String): List<String> = dependencies.unfinishedOf(id).toList()

    /** Records that job [id], on which others depend, has ended with [stage]. */
    fun onOutcome(id: String, stage: JobStage) {
        if (stage == JobStage.DONE) dependencies.markDone(id) else dependencies.markCancelled(id)
        dependencies.forget(id)
    }

    /** Starts a read that is due; to be called on each tick. */
    fun tick() {
        // Reads now and then also without requests: else the store might have compacted the changes since the last read
        // by the time of the next request, and all live jobs would have to be read again.
        if (waiters.isEmpty() && ctx.now >= nextReadAt + IDLE_READ_INTERVAL_S) whenFresh {} else startRead()
    }

    private fun startRead() {
        if (isReading || waiters.isEmpty() || ctx.now < nextReadAt) return
        isReading = true
        nextReadAt = ctx.now + readIntervalS
        val servedWaiters = waiters
        waiters = ArrayList()
        if (revision == UNREAD) readAll(null, ArrayList(), 0L, servedWaiters) else readChanges(servedWaiters)
    }

    private fun readChanges(servedWaiters: List<(Boolean) -> Unit>) {
        val startedAt = ctx.now
        ctx.out.state(StateOp.Changes(Keys.JOBS, revision)) { result -> onChanges(result, startedAt, servedWaiters) }
    }

    private fun onChanges(result: StateResult, startedAt: Double, servedWaiters: List<(Boolean) -> Unit>) {
        if (result is StateResult.News) {
            for (event in result.events) {
                val record = event.value as? JobRecord
                if (record != null) {
                    addJob(Keys.jobId(event.key), record, event.version)
                } else if (event.value == null) {
                    removeJob(Keys.jobId(event.key))
                }
            }
            log.debug(
                "changes read revision={} after_revision={} events={} took_s={}",
                result.revision,
                revision,
                result.events.size,
                ctx.now - startedAt,
            )
            revision = maxOf(revision, result.revision)
            cancellations?.onStoreRead(startedAt)
        } else if (result == StateResult.TooOld) {
            revision = UNREAD
        }
        finishRead(servedWaiters, fresh = result is StateResult.News)
    }

    private fun addJob(id: String, record: JobRecord, version: Long) {
        liveJobs.add(id)
        if (keepFacts) factsByJob[id] = record.spec.factsFor(record.owner)
        dependencies.add(id, record.spec.dependencies)
        if (record.cancelledMs > 0) {
            dependencies.markCancelled(id)
            cancellations?.recordCancelled(id)
            finalStages.recordRead(JobView(id, JobStage.CANCELLED, 0, 0), "job record", version)
        }
    }

    private fun removeJob(id: String) {
        dependencies.forget(id)
        factsByJob.remove(id)
        cancellations?.onJobEnded(id)
        if (liveJobs.remove(id)) onJobOver(id)
    }

    /**
     * Reads all live jobs page by page, from the key after [afterKey] on, or from the first if that is null, and
     * collects them in [foundItems]. The pages show different revisions of the store; reading the changes since
     * [firstRevision], that of the first page, makes them consistent.
     */
    private fun readAll(
        afterKey: String?,
        foundItems: ArrayList<StateItem>,
        firstRevision: Long,
        servedWaiters: List<(Boolean) -> Unit>,
    ) {
        ctx.out.state(StateOp.Range(Keys.JOBS, afterKey, PAGE_SIZE)) { result ->
            if (result !is StateResult.Items) {
                finishRead(servedWaiters, fresh = false)
                return@state
            }
            foundItems.addAll(result.items)
            val fromRevision = if (afterKey == null) result.revision else firstRevision
            if (result.more && result.items.isNotEmpty()) {
                readAll(result.items.last().key, foundItems, fromRevision, servedWaiters)
            } else {
                replaceAllJobs(foundItems, fromRevision)
                readChanges(servedWaiters)
            }
        }
    }

    private fun replaceAllJobs(items: List<StateItem>, itemsRevision: Long) {
        liveJobs.clear()
        factsByJob.clear()
        dependencies.clear()
        items.forEach { item -> (item.value as? JobRecord)?.let { addJob(Keys.jobId(item.key), it, item.version) } }
        revision = itemsRevision
        log.debug("live jobs read jobs={} revision={}", liveJobs.size, itemsRevision)
    }

    private fun finishRead(servedWaiters: List<(Boolean) -> Unit>, fresh: Boolean) {
        isReading = false
        servedWaiters.forEach { onFresh -> onFresh(fresh) }
        startRead()
    }

    private companion object {
        /** The value of [revision] while all live jobs still have to be read. */
        const val UNREAD = -1L

        /** Keys in each page of a read of all live jobs. */
        const val PAGE_SIZE = 400
        const val MIN_READ_INTERVAL_S = 0.1

        /** The share of the state service's request rate that the reads of all nodes take together at most. */
        const val SHARE_OF_STORE_RATE = 0.2

        /** Seconds after which a read that was possible is made although no request waits for it. */
        const val IDLE_READ_INTERVAL_S = 4.0
    }
}
