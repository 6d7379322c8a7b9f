package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.model.JobStage
import plankwall.model.Resources
import plankwall.model.TeamIndex
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.PageRecord
import plankwall.wire.StateItem

/**
 * The leader's state: the live jobs with their tasks, placements and attempts, and what each team uses. It may run
 * ahead of the store, into which [flush] brings it; commands to workers only follow what the store has confirmed.
 *
 * Only this class adds and removes jobs, attaches placements to jobs and machines and detaches them. A new leader
 * builds it from the stored job records and pages.
 */
class SchedulerState(
    private val ctx: Context,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val isKnownCancelled: (String) -> Boolean = { false },
) {
    private val log = LoggerFactory.getLogger("jobs")
    private val jobs = LinkedHashMap<String, Job>()
    private val factory = JobFactory(ctx)
    private val writer = StateWriter(ctx, store, ::onJobRecord, ::onJobEnded)
    private val dependencies = DependencyTracker(
        ctx,
        store,
        InheritedUrgency(DependencyGraph(), fleet, ::find),
        ::find,
        ::cancelByDependency,
        ::onReady,
    )
    private val usedByTeam = Array(ctx.settings.teams.size) { Resources.NONE }
    private var nextDemandIndex = 0
    private var lastAttempt = 0L

    /** All jobs that are not over, in the order in which this leader learned of them. */
    val live: Collection<Job> get() = jobs.values

    /** The live job [id], or null. */
    fun find(id: String): Job? = jobs[id]

    /** What all placements of [team] take that are not proven gone. */
    fun used(team: TeamIndex): Resources = usedByTeam[team.value]

    /** Whether the quota of [team] allows [extra] beside what it uses. */
    fun withinLimit(team: TeamIndex, extra: Resources): Boolean =
        ctx.settings.teams[team.value].allows(used(team) + extra)

    /** Rises whenever a job is added, becomes ready, or ends. */
    var changes = 0
        private set

    /** Unique for ever without being stored: the epoch is never given twice, nor is a number within it. */
    fun newAttempt(): Long = store.epoch * ATTEMPTS_PER_EPOCH + ++lastAttempt

    /** Takes the record of the job [id] as read or announced by the state service at [version]. */
    fun onJobRecord(id: String, record: JobRecord, version: Long) {
        val job = jobs[id] ?: addJob(record) ?: return
        if (version <= job.version) return
        job.version = version
        // An older version that cancels a job rewrites its record without the owner.
        job.owner = record.owner ?: job.owner
        if (record.cancelledMs > 0 && !job.cancelled) cancel(job, record.cancelledMs)
        // The record may be older than the answer that confirmed the cancellation to a user.
        if (!job.cancelled && isKnownCancelled(id)) cancel(job, ctx.time.wallMs)
        writer.markDirty(job)
    }

    private fun addJob(record: JobRecord): Job? {
        val job = factory.create(record) ?: return null
        val spec = job.spec
        jobs[spec.id] = job
        changes++
        dependencies.add(job)
        log.debug("job added job={} shape={} tasks={} team={}", spec.id, spec.shape, spec.tasks, spec.team)
        return job
    }

    /** Restores a stored page of [job] after the election: it names the tasks that may be running. */
    fun restorePage(job: Job, item: StateItem, record: PageRecord) {
        val number = Keys.pageNumber(item.key) ?: return
        val page = job.page(number)
        page.version = item.version
        if (record.partSize > 0) {
            page.partSize = record.partSize
            page.cover(page.from, minOf(page.from + record.partSize, page.to))
        }
        // A part of a page that does not state a part size: left by a leader that ended while splitting it.
        if (page.tasks == 0) return
        job.done.or(record.done)
        job.doneCount = job.done.cardinality()
        job.storedDone.or(record.done)
        for (stored in record.placements) {
            val placement = Placement(job, stored.task, stored.attempt, fleet.machine(stored.machine), stored.session)
            placement.stored = true
            placement.commanded = true
            placement.plannedAt = ctx.now
            attach(placement)
            if (job.cancelled) stop(placement, StopCause.CANCELLED, 0.0)
        }
        if (job.complete) writer.markDirty(job)
    }

    /** To be called once all pages are restored: what is neither done nor placed waits. */
    fun finishRestore() = jobs.values.forEach { job -> job.waiting.removeAll { it in job.placements || job.done[it] } }

    private fun attach(placement: Placement) {
        placement.job.placements[placement.task] = placement
        placement.machine.add(placement)
        usedByTeam[placement.job.team.value] += placement.job.spec.need
    }

    /** Plans [task] onto [machine]. Nothing is commanded before the store has it. */
    fun place(job: Job, task: Int, machine: Machine, attempt: Long): Placement {
        val placement = Placement(job, task, attempt, machine, machine.session)
        placement.plannedAt = ctx.now
        job.waiting.remove(task)
        attach(placement)
        machine.scheduleFetch(job.image, job.spec.imageGb, ctx.now)
        job.pageOf(task).dirty = true
        job.urgent = true
        writer.markDirty(job)
        return placement
    }

    /** Stops [placement], which gets [graceS] seconds for its checkpoint. The stop is sent to the worker afterwards. */
    fun stop(placement: Placement, cause: StopCause, graceS: Double) {
        if (placement.stopping != null) {
            // A cancellation overrides the grace given before.
            if (cause == StopCause.CANCELLED) {
                placement.stopping = cause
                placement.graceS = 0.0
            }
            return
        }
        placement.stopping = cause
        placement.graceS = graceS
        placement.stopSince = ctx.now
        placement.machine.unsent = true
        log.info("task stopping task={} machine={} cause={}", placement.id, placement.machine.id, cause)
        if (!placement.commanded) release(placement, "never commanded")
    }

    /** Stops [placement] with time for a checkpoint, if its job makes any. */
    fun stopWithSave(placement: Placement, cause: StopCause) {
        val job = placement.job
        val graceS = if (job.spec.checkpointS > 0) job.spec.saveS + SAVE_MARGIN_S else 0.0
        // All tasks of a gang must get the stop within a short time, or the checkpoint fails.
        if (job.isGang) stopAll(job, cause, graceS) else stop(placement, cause, graceS)
    }

    private fun stopAll(job: Job, cause: StopCause, graceS: Double) =
        job.placements.values.toList().forEach { stop(it, cause, graceS) }

    /** The task is proven gone (or was never commanded): it frees its capacity and waits again, unless it is done. */
    fun release(placement: Placement, proof: String) {
        val job = placement.job
        val task = placement.task
        if (job.placements[task] !== placement) return
        job.placements.remove(task)
        placement.machine.remove(placement)
        usedByTeam[job.team.value] -= job.spec.need
        job.pageOf(task).dirty = true
        if (!job.done[task]) job.waiting.addFirst(task)
        writer.markDirty(job)
        log.info("task released task={} machine={} proof=\"{}\"", placement.id, placement.machine.id, proof)
        // A gang's attempt is spent as soon as one task of it is lost.
        if (job.isGang && !job.done[task]) stopAll(job, StopCause.GANG, 0.0)
    }

    /** [task] of [job] is done for good. */
    fun complete(job: Job, task: Int) {
        job.markDone(task)
        writer.markDirty(job)
    }

    private fun onReady(job: Job) {
        job.ready = true
        job.readyAt = ctx.now
        job.demandIx = nextDemandIndex++
        changes++
    }

    private fun cancelByDependency(job: Job, dependency: String) {
        if (job.cancelled) return
        log.info("job cancelled by dependency job={} dependency={}", job.spec.id, dependency)
        job.cancelledByDependency = true
        cancel(job, ctx.time.wallMs)
    }

    /**
     * Some node confirmed to a user that [id] is cancelled, so that is stored though not read here yet. Its tasks are
     * stopped at once, which needs nothing stored, and none starts; that anything is gone still needs its proof.
     */
    fun onCancelled(id: String) {
        val job = jobs[id] ?: return
        if (!job.cancelled) cancel(job, ctx.time.wallMs)
    }

    private fun cancel(job: Job, atMs: Long) {
        job.cancelled = true
        job.cancelledMs = atMs
        log.info("job cancelled job={} placed={}", job.spec.id, job.placements.size)
        stopAll(job, StopCause.CANCELLED, 0.0)
        writer.markDirty(job)
        dependencies.onCancelled(job)
    }

    /** Writes what the store does not have yet, as far as its rate allows. */
    fun flush() = writer.flush()

    /** Removes the stored pages under [keys], which belong to no live job. */
    fun removeLeftovers(keys: List<String>) = writer.removeLeftovers(keys)

    /** Looks up how the dependencies of waiting jobs ended. */
    fun tick() = dependencies.tick()

    /** [job]'s final record is stored and says how it ended. */
    private fun onJobEnded(job: Job, stage: JobStage, endedMs: Long) {
        if (jobs.remove(job.spec.id) == null) return
        changes++
        writer.forget(job)
        log.info("job ended job={} stage={} done={} tasks={}", job.spec.id, stage, job.doneCount, job.spec.tasks)
        dependencies.onEnded(job.spec.id, stage, endedMs)
    }

    private companion object {
        const val ATTEMPTS_PER_EPOCH = 10_000_000L

        /** Added to the time that a checkpoint takes. */
        const val SAVE_MARGIN_S = 1.0
    }
}
