package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.model.ImageIndex
import plankwall.model.JobIndex
import plankwall.model.JobStage
import plankwall.model.Resources
import plankwall.model.TeamIndex
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.PageRecord
import plankwall.wire.StateItem

/**
 * The leader's book of live jobs, their tasks, placements and attempts, and its copy in the state service. The book
 * may run ahead of the store; commands only follow what the store has confirmed.
 */
class SchedulerState(
    private val ctx: Context,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val isCancelledElsewhere: (String) -> Boolean = { false },
) {
    private val log = LoggerFactory.getLogger("jobs")
    private val jobs = LinkedHashMap<String, Job>()
    private val writer = StateWriter(ctx, store, ::learn, ::forget)
    private val pipelines = DependencyTracker(ctx, store, fleet, ::find, ::cancelByDependency, ::becameReady)
    private val used = Array(ctx.settings.teams.size) { Resources.NONE }
    private var nextIx = 0
    private var nextDemand = 0
    private var nextAttempt = 0L

    val live: Collection<Job> get() = jobs.values

    fun find(id: String): Job? = jobs[id]

    fun used(team: TeamIndex): Resources = used[team.value]

    fun withinLimit(team: TeamIndex, extra: Resources): Boolean = ctx.settings.teams[team.value].allows(
        used(team) + extra,
    )

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
            // An older version that withdraws a job rewrites its record without the owner.
            job.owner = record.owner ?: job.owner
            if (record.cancelledMs > 0 && !job.cancelled) cancel(job, record.cancelledMs)
            // What this was read from may be older than what a user was told.
            if (!job.cancelled && isCancelledElsewhere(id)) cancel(job, ctx.time.wallMs)
            markDirty(job)
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
        val team = TeamIndex(known)
        val image = ImageIndex(ctx.names.images.intern(spec.image))
        val job =
            Job(JobIndex(nextIx++), spec, team, image, record.pageSize, record.submittedMs, ctx.now, isExpected(record))
        for (task in 0 until spec.tasks) job.waiting.addLast(task)
        jobs[spec.id] = job
        changes++
        pipelines.learned(job)
        log.debug("job {} learned: {} of {} tasks, team {}", spec.id, spec.shape, spec.tasks, spec.team)
        return job
    }

    /** A guarantee is an aim of its own, for whatever its team submits. */
    private fun isExpected(record: JobRecord): Boolean = ctx.objectives.isStated(record.spec.jobClass) ||
        ctx.settings.teams.any { it.name == record.spec.team && it.hasGuarantee }

    /** A job known to the store when we took over: its page tells what may be running. */
    fun restore(job: Job, item: StateItem, record: PageRecord) {
        val number = Keys.pageNumber(item.key) ?: return
        val page = job.page(number)
        page.version = item.version
        if (record.partSize > 0) {
            page.partSize = record.partSize
            page.cover(page.from, minOf(page.from + record.partSize, page.to))
        }
        // A part of a page that does not say it is divided: left by a leader that ended while dividing it.
        if (page.tasks == 0) return
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
            if (job.cancelled) stop(placement, StopCause.CANCELLED, 0.0)
        }
        if (job.complete) markDirty(job)
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
        machine.scheduleFetch(job.image, job.spec.imageGb, ctx.now)
        job.pageOf(task).dirty = true
        job.urgent = true
        markDirty(job)
        return p
    }

    fun stop(p: Placement, cause: StopCause, graceS: Double) {
        if (p.stopping != null) {
            // A withdrawal overrides the patience shown before.
            if (cause == StopCause.CANCELLED) {
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
        markDirty(job)
        log.info("released {} from {}: {}", p.id, p.machine.id, proof)
        // A gang's attempt is spent as soon as one task of it is lost.
        if (job.isGang && !job.done[p.task]) {
            job.placements.values.toList().forEach { stop(it, StopCause.GANG, 0.0) }
        }
    }

    fun complete(job: Job, task: Int) {
        job.markDone(task)
        markDirty(job)
    }

    private fun becameReady(job: Job) {
        job.ready = true
        job.readyAt = ctx.now
        job.demandIx = nextDemand++
        changes++
    }

    private fun cancelByDependency(job: Job, other: String) {
        if (job.cancelled) return
        log.info("job {} follows {}, which is withdrawn", job.spec.id, other)
        job.cancelledByDependency = true
        cancel(job, ctx.time.wallMs)
    }

    /**
     * A user was told that [id] is withdrawn, by whatever node, so it is stored though not read here yet. Its tasks are
     * stopped at once, which needs nothing stored, and none starts; that anything is gone is proven as ever.
     */
    fun onCancelled(id: String) {
        val job = jobs[id] ?: return
        if (!job.cancelled) cancel(job, ctx.time.wallMs)
    }

    private fun cancel(job: Job, atMs: Long) {
        job.cancelled = true
        job.cancelledMs = atMs
        log.info("job {} withdrawn with {} tasks placed", job.spec.id, job.placements.size)
        job.placements.values.toList().forEach { stop(it, StopCause.CANCELLED, 0.0) }
        markDirty(job)
        pipelines.cancelled(job)
    }

    private fun markDirty(job: Job) = writer.markDirty(job)

    fun flush() = writer.flush()

    fun removeLeftovers(keys: List<String>) = writer.removeLeftovers(keys)

    /** Looks after jobs that wait for others. */
    fun tick() = pipelines.tick()

    /** [job]'s final record says how it ended. */
    private fun forget(job: Job, stage: JobStage, endedMs: Long) {
        if (jobs.remove(job.spec.id) == null) return
        changes++
        writer.forget(job)
        log.info("job {} {}: {} of {} tasks", job.spec.id, stage, job.doneCount, job.spec.tasks)
        pipelines.ended(job.spec.id, stage, endedMs)
    }

    companion object {
        const val ATTEMPTS_PER_EPOCH = 10_000_000L
    }
}
