package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.model.JobStage
import plankwall.wire.FinalRecord
import plankwall.wire.Keys
import plankwall.wire.StateResult

/**
 * The leader's side of dependencies: which jobs may start, and which are withdrawn with one that they need. A job is
 * ready only when the final record of every job that it names has been read, or written by this leader, as done. One
 * that is merely missing from the book is looked up; what can't be read yet is not done yet.
 */
class DependencyTracker(
    private val ctx: Context,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val find: (String) -> Job?,
    private val cancel: (job: Job, through: String) -> Unit,
    private val becameReady: (Job) -> Unit,
) {
    private val log = LoggerFactory.getLogger("pipelines")
    private val graph = DependencyGraph()

    /** Named by waiting jobs and not in the book, with the moment of the next look. */
    private val missing = LinkedHashMap<String, Double>()
    private var reading = 0

    /** A job new to the book, its own dependencies included. */
    fun learned(job: Job) {
        val id = job.spec.id
        missing.remove(id)
        if (graph.dependentsOf(id).isNotEmpty()) job.needed = true
        val names = job.spec.dependencies
        pull(job)
        if (names.isEmpty()) {
            becameReady(job)
            return
        }
        spread(id, graph.add(id, names))
        names.mapNotNull(find).forEach { it.needed = true }
        names.filter { find(it) == null }.forEach { missing[it] = ctx.now }
        raiseNeeded(job)
    }

    /** [job] is stored as withdrawn by its user, or follows one that is. */
    fun cancelled(job: Job) {
        spread(job.spec.id, graph.cancelled(job.spec.id))
        // It raises nothing any more; where all go with it, nothing is to be done for them either.
        job.spec.dependencies.mapNotNull(find).filter { !it.cancelled }.forEach(::pull)
    }

    /** The final record of [id] says how it ended; [atMs] 0 where an older version wrote it. */
    fun ended(id: String, stage: JobStage, atMs: Long) {
        missing.remove(id)
        if (stage == JobStage.DONE) {
            for (name in graph.done(id)) find(name)?.let { ready(it, id, atMs) }
        } else {
            spread(id, graph.cancelled(id))
        }
        graph.over(id)
    }

    private fun ready(job: Job, last: String, atMs: Long) {
        job.readyMs = maxOf(job.readyMs, atMs)
        log.info("job {} waits for nothing any more: {} is done", job.spec.id, last)
        becameReady(job)
    }

    private fun spread(through: String, ids: List<String>) = ids.forEach { id ->
        find(id)?.let { cancel(it, through) }
    }

    /** Looks up the ends of jobs that are not in the book: over before this leader came, or news still on their way. */
    fun tick() {
        if (missing.isEmpty()) return
        for ((id, at) in missing.entries.toList()) {
            if (graph.dependentsOf(id).isEmpty()) missing.remove(id)
            if (ctx.now < at || id !in missing) continue
            if (reading >= MAX_READING || !store.mayRead()) return
            missing[id] = ctx.now + RETRY_S
            reading++
            store.read(Keys.final(id)) { result ->
                reading--
                val end = (result as? StateResult.Item)?.item?.value as? FinalRecord
                if (end != null && id in missing) ended(id, end.stage, end.endedMs)
            }
        }
    }

    /**
     * Priority and deadline of a job follow from those that need it: a stage counts as much as the job that its user
     * waits for, and must be over early enough for what comes after it. Changes travel up the chain.
     */
    private fun pull(from: Job) {
        val next = ArrayDeque(listOf(from))
        while (next.isNotEmpty()) {
            val job = next.removeFirst()
            val needing = graph.dependentsOf(job.spec.id).mapNotNull(find).filter { !it.cancelled }
            val priority =
                needing.maxOfOrNull { it.priority }?.let { maxOf(it, job.spec.priority) } ?: job.spec.priority
            val due = minOf(job.ownDueMs, needing.minOfOrNull { startByMs(it) } ?: Long.MAX_VALUE)
            if (priority == job.priority && due == job.dueMs) continue
            job.priority = priority
            job.dueMs = due
            next.addAll(job.spec.dependencies.mapNotNull(find))
        }
    }

    /**
     * What [from] needs counts at least as much as it does. One more dependent can only raise, so no others are looked
     * at.
     */
    private fun raiseNeeded(from: Job) {
        val next = ArrayDeque(listOf(from))
        while (next.isNotEmpty()) {
            val job = next.removeFirst()
            val startBy = startByMs(job)
            for (needed in job.spec.dependencies.mapNotNull(find)) {
                if (needed.priority >= job.priority && needed.dueMs <= startBy) continue
                needed.priority = maxOf(needed.priority, job.priority)
                needed.dueMs = minOf(needed.dueMs, startBy)
                next.addLast(needed)
            }
        }
    }

    /** By when [job] must start: what it needs must be over by then. */
    private fun startByMs(job: Job): Long = if (job.dueMs ==
        Long.MAX_VALUE
    ) {
        Long.MAX_VALUE
    } else {
        job.dueMs - lastsMs(job)
    }

    /** How long [job] should take from its start, the fetch of its image included. */
    private fun lastsMs(job: Job): Long {
        val fetch = fleet.catalog?.types?.maxOfOrNull { it.fetchS(job.spec.imageGb) } ?: 0.0
        return ((job.spec.estimateS + fetch) * 1000).toLong()
    }

    private companion object {
        const val MAX_READING = 20
        const val RETRY_S = 1.0
    }
}
