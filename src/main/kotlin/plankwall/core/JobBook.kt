package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.model.ImageIx
import plankwall.model.JobIx
import plankwall.model.JobStage
import plankwall.model.Resources
import plankwall.model.TeamIx
import plankwall.wire.FinalRecord
import plankwall.wire.Guard
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.PageRecord
import plankwall.wire.StateItem
import plankwall.wire.StateResult
import plankwall.wire.StoredPlacement
import plankwall.wire.Write
import java.util.BitSet

/**
 * The leader's book of live jobs, their tasks, placements and attempts, and its copy in the state service. The book
 * may run ahead of the store; commands only follow what the store has confirmed.
 */
class JobBook(private val ctx: Context, private val store: LeaderStore, private val fleet: Fleet) {
    private val log = LoggerFactory.getLogger("jobs")
    private val jobs = LinkedHashMap<String, Job>()
    private val dirty = LinkedHashSet<Job>()
    private val used = Array(ctx.settings.teams.size) { Resources.NONE }
    private var nextIx = 0
    private var nextAttempt = 0L

    val live: Collection<Job> get() = jobs.values

    fun find(id: String): Job? = jobs[id]

    fun used(team: TeamIx): Resources = used[team.value]

    fun withinLimit(team: TeamIx, extra: Resources): Boolean = ctx.settings.teams[team.value].allows(used(team) + extra)

    /** Rises whenever a job comes or goes. */
    var changes = 0
        private set

    /** Unique for ever without being stored: the epoch is never given twice, nor is a number within it. */
    fun newAttempt(): Long = store.epoch * ATTEMPTS_PER_EPOCH + ++nextAttempt

    /** A job's record as read or announced by the state service. */
    fun learn(id: String, record: JobRecord, version: Long) {
        val job = jobs[id] ?: admit(record) ?: return
        if (version > job.version) {
            job.version = version
            if (record.withdrawnMs > 0 && !job.withdrawn) withdraw(job, record.withdrawnMs)
            soil(job)
        }
    }

    private fun admit(record: JobRecord): Job? {
        val spec = record.spec
        val known = ctx.names.teams.find(spec.team)
        if (known == null) {
            // Only after a change of settings: one such job must not keep all others from being served.
            log.error("job {} is of team {}, which the settings no longer have", spec.id, spec.team)
            return null
        }
        val team = TeamIx(known)
        val image = ImageIx(ctx.names.images.intern(spec.image))
        val job = Job(JobIx(nextIx++), spec, team, image, record.pageSize, record.submittedMs, ctx.now)
        for (task in 0 until spec.tasks) job.waiting.addLast(task)
        jobs[spec.id] = job
        changes++
        log.debug("job {} learned: {} of {} tasks, team {}", spec.id, spec.shape, spec.tasks, spec.team)
        return job
    }

    /** A job known to the store when we took over: its page tells what may be running. */
    fun restore(job: Job, item: StateItem, record: PageRecord) {
        val number = Keys.pageNumber(item.key) ?: return
        val page = job.pages.getOrPut(number) { Page(number) }
        page.version = item.version
        job.done.or(record.done)
        job.doneCount = job.done.cardinality()
        job.storedDone.or(record.done)
        for (p in record.placements) {
            val machine = fleet.machine(p.machine)
            val placement = Placement(job, p.task, p.attempt, machine, p.session)
            placement.stored = true
            placement.commanded = true
            placement.plannedAt = ctx.now
            attach(placement)
            if (job.withdrawn) stop(placement, StopCause.WITHDRAWN, 0.0)
        }
        if (job.complete) soil(job)
    }

    /** Once all pages are restored: what is neither done nor placed waits. */
    fun restored() = jobs.values.forEach { job -> job.waiting.removeAll { it in job.placements || job.done[it] } }

    private fun attach(p: Placement) {
        p.job.placements[p.task] = p
        p.machine.add(p)
        used[p.job.team.value] += p.job.spec.need
    }

    /** Plans [task] onto [machine]. Nothing is commanded before the store has it. */
    fun place(job: Job, task: Int, machine: Machine, attempt: Long): Placement {
        val p = Placement(job, task, attempt, machine, machine.session)
        p.plannedAt = ctx.now
        job.waiting.remove(task)
        attach(p)
        machine.willFetch(job.image, job.spec.imageGb, ctx.now)
        job.pageOf(task).dirty = true
        job.urgent = true
        soil(job)
        return p
    }

    fun stop(p: Placement, cause: StopCause, graceS: Double) {
        if (p.stopping != null) {
            // A withdrawal overrides the patience shown before.
            if (cause == StopCause.WITHDRAWN) {
                p.stopping = cause
                p.graceS = 0.0
            }
            return
        }
        p.stopping = cause
        p.graceS = graceS
        p.stopSince = ctx.now
        p.machine.unsent = true
        log.info("stop {} on {}: {}", p.id, p.machine.id, cause)
        if (!p.commanded) release(p, "never commanded")
    }

    /** Stops a task so that it can save, if its job saves at all. */
    fun stopWithSave(p: Placement, cause: StopCause) {
        val spec = p.job.spec
        val grace = if (spec.checkpointS > 0) spec.saveS + 1.0 else 0.0
        // Of a gang all must be told within a short time, or the save fails.
        if (p.job.isGang) p.job.placements.values.toList().forEach { stop(it, cause, grace) } else stop(p, cause, grace)
    }

    /** The task is proven gone (or was never commanded): it frees its room and waits again, unless it is done. */
    fun release(p: Placement, proof: String) {
        val job = p.job
        if (job.placements[p.task] !== p) return
        job.placements.remove(p.task)
        p.machine.remove(p)
        used[job.team.value] -= job.spec.need
        job.pageOf(p.task).dirty = true
        if (!job.done[p.task]) job.waiting.addFirst(p.task)
        soil(job)
        log.info("released {} from {}: {}", p.id, p.machine.id, proof)
        // A gang's attempt is spent as soon as one task of it is lost.
        if (job.isGang && !job.done[p.task]) {
            job.placements.values.toList().forEach { stop(it, StopCause.GANG, 0.0) }
        }
    }

    fun complete(job: Job, task: Int) {
        job.markDone(task)
        soil(job)
    }

    private fun withdraw(job: Job, atMs: Long) {
        job.withdrawn = true
        job.withdrawnMs = atMs
        log.info("job {} withdrawn with {} tasks placed", job.spec.id, job.placements.size)
        job.placements.values.toList().forEach { stop(it, StopCause.WITHDRAWN, 0.0) }
        soil(job)
    }

    private fun soil(job: Job) {
        if (dirty.add(job)) job.dirtySince = ctx.now
    }

    /**
     * Writes what the store does not have yet, as far as its rate allows: first what somebody waits for. That a task
     * is gone or done can wait a moment, and comes with others of its page then.
     */
    fun flush() {
        var room = store.room()
        if (room <= 0 || dirty.isEmpty()) return
        val batch = Batch()
        val (first, rest) = dirty.partition { it.urgent || endable(it) }
        for (job in first + rest) {
            if (room <= 0) break
            if (job.version == 0L || job.finishing) continue
            if (endable(job)) {
                room -= finish(job)
                continue
            }
            if (!job.urgent && room < store.scarce && ctx.now < job.dirtySince + COALESCE_S) continue
            for (page in job.pages.values) {
                if (!page.dirty || page.inFlight) continue
                if (page.reread) {
                    reread(job, page)
                    continue
                }
                if (room <= 0) break
                batch.add(job, page)
                room--
                if (batch.full) batch.send()
            }
            if (job.pages.values.none { it.dirty }) {
                dirty.remove(job)
                job.urgent = false
            }
        }
        batch.send()
    }

    private fun endable(job: Job): Boolean =
        (job.complete || job.withdrawn) && job.placements.isEmpty() && job.pages.values.none { it.inFlight }

    private class Sent(val job: Job, val page: Page, val placements: List<Placement>, val done: BitSet)

    /** Pages of several jobs written at once: one call instead of many. */
    private inner class Batch {
        private var sent = ArrayList<Sent>()
        private var bytes = 0

        val full: Boolean get() = sent.size >= minOf(ctx.settings.state.txnOps, 12) || bytes > 40_000

        fun add(job: Job, page: Page) {
            val from = page.number * job.pageSize
            val to = minOf(from + job.pageSize, job.spec.tasks)
            val placements = job.placements.values.filter { it.task in from until to }
            val done = job.done.get(0, to).also { it.clear(0, from) }
            sent.add(Sent(job, page, placements, done))
            bytes += 120 + placements.size * 60 + 14 * minOf(done.cardinality(), job.pageSize / 2 + 1)
            page.dirty = false
            page.inFlight = true
        }

        fun send() {
            if (sent.isEmpty()) return
            val batch = sent
            sent = ArrayList()
            bytes = 0
            val jobGuards = batch.map { it.job }.distinct().map { Guard(Keys.job(it.spec.id), it.version) }
            val pageGuards = batch.map { Guard(Keys.page(it.job.spec.id, it.page.number), it.page.version) }
            val writes = batch.map { s ->
                val stored = s.placements.map { StoredPlacement(it.task, it.attempt, it.machine.id, it.session) }
                Write.Put(Keys.page(s.job.spec.id, s.page.number), PageRecord(s.done, stored))
            }
            store.write(jobGuards + pageGuards, writes) { result -> batch.forEach { written(it, result) } }
        }
    }

    private fun written(s: Sent, result: StateResult) {
        s.page.inFlight = false
        when (result) {
            is StateResult.Committed -> {
                s.page.version = result.revision
                s.placements.forEach {
                    if (!it.stored) {
                        it.stored = true
                        it.machine.unsent = true
                        log.info("placed {} on {} (stored at {})", it.id, it.machine.id, result.revision)
                    }
                }
                s.job.storedDone.or(s.done)
            }
            is StateResult.Conflict -> {
                s.page.dirty = true
                if (Keys.page(s.job.spec.id, s.page.number) in result.failed) s.page.reread = true
                if (Keys.job(s.job.spec.id) in result.failed) rereadJob(s.job)
            }
            else -> {
                // It may still be applied, much later: the page's version as guard lets only one of the two through.
                s.page.dirty = true
            }
        }
        if (s.page.dirty) soil(s.job)
    }

    private fun reread(job: Job, page: Page) {
        page.inFlight = true
        store.read(Keys.page(job.spec.id, page.number)) { result ->
            page.inFlight = false
            if (result is StateResult.Item) {
                page.version = result.item?.version ?: 0L
                page.reread = false
            }
        }
    }

    private fun rereadJob(job: Job) = store.read(Keys.job(job.spec.id)) { result ->
        if (result !is StateResult.Item) return@read
        val item = result.item
        val record = item?.value as? JobRecord
        if (item != null && record != null) {
            learn(job.spec.id, record, item.version)
        } else if (job.placements.isEmpty() && !job.finishing) {
            // Only our own finishing removes a record: an unanswered try went through.
            forget(job, if (job.withdrawn) JobStage.WITHDRAWN else JobStage.DONE, emptyList())
        }
    }

    /** Moves a job that is over to its final record, in one transaction; leftover pages of huge jobs follow. */
    private fun finish(job: Job): Int {
        val stage = if (job.complete && !job.withdrawn) JobStage.DONE else JobStage.WITHDRAWN
        val id = job.spec.id
        val stored = job.pages.values.filter { it.version > 0 }
        val now = stored.take(ctx.settings.state.txnOps - 2)
        val writes = ArrayList<Write>()
        writes.add(Write.Put(Keys.final(id), FinalRecord(stage, job.doneCount)))
        writes.add(Write.Remove(Keys.job(id)))
        now.forEach { writes.add(Write.Remove(Keys.page(id, it.number))) }
        job.finishing = true
        store.write(listOf(Guard(Keys.job(id), job.version)), writes) { result ->
            job.finishing = false
            when (result) {
                is StateResult.Committed -> forget(job, stage, stored.drop(now.size).map { Keys.page(id, it.number) })
                is StateResult.Conflict -> settleFinish(job, stage)
                else -> Unit
            }
        }
        return writes.size
    }

    /** The record changed or is gone: the user withdrew the job, or an unanswered try of ours went through after all. */
    private fun settleFinish(job: Job, stage: JobStage) = store.read(Keys.job(job.spec.id)) { result ->
        if (result !is StateResult.Item) return@read
        val item = result.item
        val record = item?.value as? JobRecord
        if (item != null && record != null) learn(job.spec.id, record, item.version) else forget(job, stage, emptyList())
    }

    private fun forget(job: Job, stage: JobStage, leftover: List<String>) {
        if (jobs.remove(job.spec.id) == null) return
        changes++
        dirty.remove(job)
        log.info("job {} {}: {} of {} tasks", job.spec.id, stage, job.doneCount, job.spec.tasks)
        removeLeftovers(leftover)
    }

    /** Removes pages that no job needs any more, in steps. */
    fun removeLeftovers(keys: List<String>) {
        if (keys.isEmpty()) return
        val now = keys.take(ctx.settings.state.txnOps)
        store.write(emptyList(), now.map { Write.Remove(it) }) { result ->
            if (result is StateResult.Committed) removeLeftovers(keys.drop(now.size)) else log.debug("leftovers kept: {}", now.size)
        }
    }

    companion object {
        private const val COALESCE_S = 1.0
        const val ATTEMPTS_PER_EPOCH = 10_000_000L

        /** How many tasks share a page so that the page surely fits a value. */
        fun pageSize(valueKb: Double): Int = ((valueKb * 1024 - 256) / 64).toInt().coerceIn(8, 256)
    }
}
