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
 * The leader's state in memory: the live jobs with their tasks, placements and attempts, and the resources that each
 * team uses. It may be ahead of the store until [flush] writes the changes. A worker is ordered to start a task only
 * once the store has confirmed the placement; a stop requires no write.
 *
 * Only this class adds and removes jobs, attaches placements to jobs and machines, and detaches them. A newly elected
 * leader builds it from the stored job records and pages.
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

    /** All jobs that have not ended, in the order in which this leader learned of them. */
    val liveJobs: Collection<Job> get() = jobs.values

    /** Returns the live job [id], or null if there is none. */
    fun find(id: String): Job? = jobs[id]

    /** Returns the resources that the placements of [team] take; each counts until its task is proven gone. */
    fun usedBy(team: TeamIndex): Resources = usedByTeam[team.value]

    /** Returns whether the quota of [team] allows it to use [extra] in addition to what it uses now. */
    fun isWithinQuota(team: TeamIndex, extra: Resources): Boolean =
        ctx.settings.teams[team.value].allows(usedBy(team) + extra)

    /**
     * The number of times that a job was added, became ready or ended. A change of it shows callers that they have to
     * recompute.
     */
    var changeCount = 0
        private set

    /**
     * Returns an attempt number that is unique for ever although it is not stored: an epoch is never given to two
     * leaders, and a number is never used twice within an epoch.
     */
    fun newAttempt(): Long = store.epoch * ATTEMPTS_PER_EPOCH + ++lastAttempt

    /**
     * Applies the record of the job [id] as read from the state service or announced by it, and adds the job if it is
     * new. [version] is the version of the record; a record that is not newer than the one applied last is ignored.
     */
    fun onJobRecord(id: String, record: JobRecord, version: Long) {
        val job = jobs[id] ?: addJob(record) ?: return
        if (version <= job.version) return
        job.version = version
        // An older release that cancels a job rewrites its record without the owner.
        job.owner = record.owner ?: job.owner
        if (record.cancelledMs > 0 && !job.cancelled) cancel(job, record.cancelledMs)
        // The record may have been read before the cancellation that a node confirmed to a user.
        if (!job.cancelled && isKnownCancelled(id)) cancel(job, ctx.time.wallMs)
        writer.markDirty(job)
    }

    private fun addJob(record: JobRecord): Job? {
        val job = factory.create(record) ?: return null
        val spec = job.spec
        jobs[spec.id] = job
        changeCount++
        dependencies.add(job)
        log.debug("job added job={} shape={} tasks={} team={}", spec.id, spec.shape, spec.tasks, spec.team)
        return job
    }

    /**
     * Restores [record], the page of [job] that was read as [item] after the election. Its placements are the tasks
     * that may be running.
     */
    fun restorePage(job: Job, item: StateItem, record: PageRecord) {
        val number = Keys.pageNumber(item.key) ?: return
        val page = job.page(number)
        page.version = item.version
        if (record.partSize > 0) {
            page.partSize = record.partSize
            page.cover(page.firstTask, minOf(page.firstTask + record.partSize, page.endTask))
        }
        // This is a part of a page whose record states no part size, so it counts for nothing: the leader that wrote
        // the part ended before it had split the page.
        if (page.taskCount == 0) return
        job.done.or(record.done)
        job.doneCount = job.done.cardinality()
        job.storedDone.or(record.done)
        for (stored in record.placements) {
            val placement = Placement(job, stored.task, stored.attempt, fleet.machine(stored.machine), stored.session)
            placement.stored = true
            placement.isCommanded = true
            placement.plannedAt = ctx.now
            attach(placement)
            if (job.cancelled) stop(placement, StopCause.CANCELLED, 0.0)
        }
        if (job.isComplete) writer.markDirty(job)
    }

    /**
     * Leaves only tasks that are neither done nor placed among the waiting ones; to be called once all pages are
     * restored.
     */
    fun finishRestore() = jobs.values.forEach { job -> job.waiting.removeAll { it in job.placements || job.done[it] } }

    private fun attach(placement: Placement) {
        val replaced = placement.job.placements.put(placement.task, placement)
        if (replaced?.stopping != null) placement.job.stoppingCount--
        placement.machine.add(placement)
        usedByTeam[placement.job.team.value] += placement.job.spec.need
    }

    /**
     * Plans [task] onto [machine]. The worker is not ordered to start it before the store has confirmed the placement.
     */
    fun place(job: Job, task: Int, machine: Machine, attempt: Long): Placement {
        val placement = Placement(job, task, attempt, machine, machine.session)
        placement.plannedAt = ctx.now
        job.waiting.remove(task)
        attach(placement)
        machine.imageCache.scheduleFetch(job.image, job.spec.imageGb, ctx.now)
        job.pageOf(task).dirty = true
        job.urgent = true
        writer.markDirty(job)
        return placement
    }

    /**
     * Stops [placement], which gets [graceS] seconds for its checkpoint. The stop is sent to the worker afterwards; a
     * placement that was never commanded is released at once. One that is stopping already only loses the rest of its
     * grace if its job is cancelled.
     */
    fun stop(placement: Placement, cause: StopCause, graceS: Double) {
        markStopping(placement, cause, graceS)
        if (!placement.isCommanded) release(placement, NEVER_COMMANDED)
    }

    private fun markStopping(placement: Placement, cause: StopCause, graceS: Double) {
        if (placement.stopping != null) {
            // A cancellation overrides the grace that was given before.
            if (cause == StopCause.CANCELLED) {
                placement.stopping = cause
                placement.graceS = 0.0
            }
            return
        }
        placement.stopping = cause
        placement.graceS = graceS
        placement.stopSince = ctx.now
        placement.job.stoppingCount++
        placement.machine.hasUnsentOrders = true
        log.info("task stopping task={} machine={} cause={}", placement.id, placement.machine.id, cause)
    }

    /**
     * Stops [placement] with time for a checkpoint if its job writes checkpoints. If the job is a gang, all its tasks
     * are stopped.
     */
    fun stopWithCheckpoint(placement: Placement, cause: StopCause) {
        val job = placement.job
        val graceS = if (job.spec.checkpointS > 0) job.spec.saveS + SAVE_MARGIN_S else 0.0
        // All tasks of a gang must get the stop within a short time, or the checkpoint fails.
        if (job.isGang) stopAll(job, cause, graceS) else stop(placement, cause, graceS)
    }

    /**
     * Stops all tasks of [job] in one pass: a task that was never commanded is released without stopping the others
     * again. Each loss of a task of a gang calls this, so it returns at once if all are stopping already.
     */
    private fun stopAll(job: Job, cause: StopCause, graceS: Double) {
        if (cause != StopCause.CANCELLED && job.stoppingCount == job.placements.size) return
        val placements = job.placements.values.toList()
        placements.forEach { markStopping(it, cause, graceS) }
        placements.filterNot { it.isCommanded }.forEach { detach(it, NEVER_COMMANDED) }
    }

    /**
     * Detaches [placement], whose task is proven gone or was never commanded; [proof] says why. Its capacity becomes
     * free, and the task waits again unless it is done. Does nothing if the placement was released before.
     */
    fun release(placement: Placement, proof: String) {
        val job = placement.job
        if (!detach(placement, proof)) return
        // The whole attempt of a gang has failed as soon as one of its tasks is lost.
        if (job.isGang && !job.done[placement.task]) stopAll(job, StopCause.GANG, 0.0)
    }

    /** Detaches [placement] as [release] does, without an effect on other tasks. Returns whether it was attached. */
    private fun detach(placement: Placement, proof: String): Boolean {
        val job = placement.job
        val task = placement.task
        if (job.placements[task] !== placement) return false
        job.placements.remove(task)
        if (placement.stopping != null) job.stoppingCount--
        if (placement.hasExited) job.unstoredExits[task] = placement.attempt
        placement.machine.remove(placement)
        usedByTeam[job.team.value] -= job.spec.need
        job.pageOf(task).dirty = true
        if (!job.done[task]) job.waiting.addFirst(task)
        writer.markDirty(job)
        log.info("task released task={} machine={} proof=\"{}\"", placement.id, placement.machine.id, proof)
        return true
    }

    /** Records that [task] of [job] is permanently done. */
    fun complete(job: Job, task: Int) {
        job.markDone(task)
        writer.markDirty(job)
    }

    private fun onReady(job: Job) {
        job.ready = true
        job.readyAt = ctx.now
        job.demandIndex = nextDemandIndex++
        changeCount++
    }

    private fun cancelByDependency(job: Job, dependency: String) {
        if (job.cancelled) return
        log.info("job cancelled by dependency job={} dependency={}", job.spec.id, dependency)
        job.cancelledByDependency = true
        cancel(job, ctx.time.wallMs)
    }

    /**
     * Cancels the job [id], whose cancellation some node has confirmed to a user: it is stored, even if this leader has
     * not read it yet. Its tasks are stopped at once and no more are started, which needs no write. A task is still
     * released only with a proof that it is gone.
     */
    fun onCancelled(id: String) {
        val job = jobs[id] ?: return
        if (!job.cancelled) cancel(job, ctx.time.wallMs)
    }

    private fun cancel(job: Job, cancelledMs: Long) {
        job.cancelled = true
        job.cancelledMs = cancelledMs
        log.info("job cancelled job={} placed={}", job.spec.id, job.placements.size)
        stopAll(job, StopCause.CANCELLED, 0.0)
        writer.markDirty(job)
        dependencies.onCancelled(job)
    }

    /** Writes the changes that the store does not have yet, as far as its rate limit allows. */
    fun flush() = writer.flush()

    /** Removes the stored pages under [keys], which belong to no live job. */
    fun removeLeftovers(keys: List<String>) = writer.removeLeftovers(keys)

    /** Looks up in the store how dependencies ended that are no longer live; to be called regularly. */
    fun tick() = dependencies.tick()

    /** Removes [job], whose final record is stored and states [stage], and updates the jobs that depend on it. */
    private fun onJobEnded(job: Job, stage: JobStage, endedMs: Long) {
        if (jobs.remove(job.spec.id) == null) return
        changeCount++
        writer.forget(job)
        log.info("job ended job={} stage={} done={} tasks={}", job.spec.id, stage, job.doneCount, job.spec.tasks)
        dependencies.onEnded(job.spec.id, stage, endedMs)
    }

    private companion object {
        /** The number of attempt numbers that are reserved for each epoch. */
        const val ATTEMPTS_PER_EPOCH = 10_000_000L

        /** The proof that a placement's task is gone whose start was never sent. */
        const val NEVER_COMMANDED = "never commanded"

        /** The time that a stopped task gets in addition to what its checkpoint should take. */
        const val SAVE_MARGIN_S = 1.0
    }
}
