package plankwall.core.state

import plankwall.model.ImageIndex
import plankwall.model.JobIndex
import plankwall.model.JobSpec
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.model.TeamIndex
import plankwall.wire.HeartbeatSize
import plankwall.wire.JobProgress
import plankwall.wire.Keys
import java.util.BitSet

/**
 * A live job: its specification, and the leader's state of its tasks.
 *
 * Several classes set its fields: [SchedulerState] the state of the tasks ([done], [placements], [waiting]),
 * cancellation and readiness; [DependencyTracker] the effective [priority] and [dueMs]; [StateWriter] and the classes
 * that it uses the versions, [storedDone] and [finishing]; fault attribution the fields about failures; gang placement
 * [heldZone] and [heldSince]; the queue [guaranteed]; scale-out [starving].
 *
 * The store holds the job's record (written when the job is submitted or cancelled), its pages of [done] and
 * [placements], and in the end its final record. Each leader derives everything else anew.
 *
 * @property index the number of the job, which is only valid as long as this node leads
 * @property pageSize the number of tasks in a stored page
 * @property submittedMs the time at which the job was submitted, in milliseconds of wall-clock time
 * @property learnedAt the time at which this leader first read the job's record, in seconds of the monotonic clock
 * @property hasServiceObjective whether a service-level objective or its team's guarantee applies to the job; such a
 * job is never [bestEffort]
 */
class Job(
    val index: JobIndex,
    val spec: JobSpec,
    val team: TeamIndex,
    val image: ImageIndex,
    val pageSize: Int,
    val submittedMs: Long,
    val learnedAt: Double,
    private val hasServiceObjective: Boolean = true,
) {
    /** The most bytes that a task takes in the heartbeats of its worker. */
    val heartbeatBytesPerTask = HeartbeatSize.maxTaskBytes(spec.id)

    /**
     * The store's version of the job's record. Every write about the job is guarded on it, so that no task starts after
     * a cancellation.
     */
    var version = 0L

    /** The principal that submitted the job; null where callers are not authenticated. */
    var owner: String? = null

    /** Whether the job's user cancelled it, or it depends on a cancelled job. No more of its tasks are started. */
    var cancelled = false

    /** The time at which the job was cancelled, in milliseconds of wall-clock time; 0 if it was not. */
    var cancelledMs = 0L

    /** Whether the write of the job's final record is in progress. */
    var finishing = false

    /**
     * Whether the job was cancelled because a job that it depends on was, which follows from what is stored already.
     */
    var cancelledByDependency = false

    /**
     * Whether all jobs that it depends on are done. Until then it does not count as demand, and no task of it starts.
     */
    var ready = false

    /**
     * The time at which the job's waiting time began, in milliseconds of wall-clock time: its submission, or the end of
     * the last job that it depends on.
     */
    var readyMs = submittedMs

    /** The time at which this leader found the job ready, in seconds of the monotonic clock. */
    var readyAt = learnedAt

    /** Whether another job depends on it. */
    var hasDependents = false
        set(value) {
            field = value
            equivalenceClass = equivalenceClassFor(priority)
        }

    /**
     * Whether it only takes leftover capacity: it has no objective and no deadline, no guarantee covers it, no other
     * job depends on it, and it is neither a service nor dependent on other jobs. It comes last among jobs of the same
     * rank, does not keep an ordinary machine from being scaled in, and causes scale-out only where that costs next to
     * nothing.
     */
    val bestEffort: Boolean
        get() = !hasServiceObjective &&
            !hasDependents &&
            spec.shape != Shape.SERVICE &&
            spec.deadlineS == null &&
            dueMs == Long.MAX_VALUE &&
            spec.dependencies.isEmpty()

    /**
     * Whether it is a best-effort job that has waited for long. Where no capacity is ever left over it would starve, so
     * from then on it may use more expensive machines.
     */
    var starving = false
        set(value) {
            field = value
            equivalenceClass = equivalenceClassFor(priority)
        }

    /** The position of the job in the order in which jobs became ready, or [NO_DEMAND]. */
    var demandIndex = NO_DEMAND

    /** The highest of its own priority and those of the jobs that depend on it. */
    var priority = spec.priority
        set(value) {
            field = value
            equivalenceClass = equivalenceClassFor(value)
        }

    /** The job's own deadline in milliseconds of wall-clock time, or [Long.MAX_VALUE] if it has none. */
    val ownDueMs: Long = spec.deadlineS?.let { submittedMs + (it * 1000).toLong() } ?: Long.MAX_VALUE

    /**
     * The job's own deadline, or an earlier one that follows from a job that depends on it, in milliseconds of the time
     * of day; [Long.MAX_VALUE] if there is neither.
     */
    var dueMs = ownDueMs

    /** The numbers of the tasks that are done. */
    val done = BitSet(spec.tasks)

    /** The number of tasks in [done]. */
    var doneCount = 0

    /** The tasks in [done] that the state service holds as done. */
    val storedDone = BitSet()

    /** The placement of each task whose current attempt is not proven gone, by task number. */
    val placements = HashMap<Int, Placement>()

    /** The number of [placements] that are being stopped. */
    var stoppingCount = 0

    /** The attempt of each task that has exited and whose placement the state service may still hold. */
    val unstoredExits = HashMap<Int, Long>()

    /** The pages and the parts of split pages, by their number in the stored key. */
    val pages = HashMap<Int, TaskPage>()

    /** The tasks that are neither done nor placed, in the order in which they are to be placed. */
    val waiting = ArrayDeque<Int>()

    /** The time before which no task of it is placed, in seconds of the monotonic clock. */
    var backoffUntil = 0.0

    /** Whether a task was placed and cannot start before its page is written. */
    var urgent = false

    /** The time at which the oldest change that is not written yet was made, in seconds of the monotonic clock. */
    var dirtySince = 0.0

    /** The machines on which a task of it failed, except those known to be faulty themselves. */
    val failedMachines = MachineFailures()

    /**
     * Whether a task of it finished, or ran for long where others failed at once. Failures from then on are not
     * attributed to the job.
     */
    var provenSound = false

    /** The longest time, in seconds, for which a task of it ran before it failed. */
    var longestFailedRunS = 0.0

    /** The number of attempts that failed in a row since the job became [isSuspected]. */
    var failedRetries = 0

    /**
     * Whether it failed on at least [SUSPECT_MACHINES] machines and ran well nowhere, probably because it was submitted
     * with a mistake. It is then retried one task at a time with a growing backoff. Until it runs well, it causes no
     * scale-out and no preemption, and its failures are not attributed to machines.
     */
    val isSuspected: Boolean get() = !provenSound && failedMachines.size >= SUSPECT_MACHINES

    /** Whether the job fits into its team's guarantee together with the team's earlier unfinished jobs. */
    var guaranteed = false

    /** Whether the job's tasks start together or not at all. */
    val isGang: Boolean get() = spec.shape == Shape.GANG

    /**
     * Whether it is a gang of more than one task. A gang of one task has no others to wait for and is treated like any
     * other job.
     */
    val isGangOfSeveral: Boolean get() = isGang && spec.tasks > 1

    /** The class that it shares with all jobs whose tasks fit on the same machines as its own. */
    var equivalenceClass = equivalenceClassFor(spec.priority)
        private set

    private fun equivalenceClassFor(priority: Priority) =
        EquivalenceClass(spec.need, spec.types, spec.zone, spec.spot, priority, bestEffort, starving)

    /**
     * The zone in which capacity is held for this gang; null if none was chosen, or if its tasks may be in several
     * zones.
     */
    var heldZone: String? = null

    /** The time at which holding capacity in [heldZone] began, in seconds of the monotonic clock. */
    var heldSince = 0.0

    /** Returns the page, or the part of a split page, that holds [task]. */
    fun pageOf(task: Int): TaskPage {
        val wholePage = page(task / pageSize)
        val partNumber = if (wholePage.partSize > 0) task % pageSize / wholePage.partSize else 0
        return if (partNumber == 0) wholePage else page(Keys.part(wholePage.number, partNumber))
    }

    /**
     * Returns the page with this [number] in the stored key, and adds it if it is missing. A part whose page is not
     * split covers no tasks.
     */
    fun page(number: Int): TaskPage = pages.getOrPut(number) {
        TaskPage(number).apply {
            val wholePageNumber = Keys.pageOf(number)
            val pageStart = wholePageNumber * pageSize
            if (number == wholePageNumber) {
                cover(pageStart, minOf(pageStart + pageSize, spec.tasks))
            } else {
                pages[wholePageNumber]?.let { coverPart(it, pageStart) }
            }
        }
    }

    private fun TaskPage.coverPart(wholePage: TaskPage, pageStart: Int) {
        if (wholePage.partSize == 0) return
        val partStart = pageStart + Keys.partIndexOf(number) * wholePage.partSize
        cover(partStart, minOf(partStart + wholePage.partSize, pageStart + pageSize, spec.tasks))
    }

    /** Records that [task] is permanently done. */
    fun markDone(task: Int) {
        if (task >= spec.tasks || done[task]) return
        done.set(task)
        doneCount++
        // A placed task is not among the waiting ones, and a huge job has too many waiting tasks to search them in
        // vain.
        if (task !in placements) waiting.remove(task)
        pageOf(task).dirty = true
    }

    /** The numbers of tasks that are done and that run now. */
    val progress: JobProgress
        get() = JobProgress(spec.id, doneCount, placements.values.count { it.runningSince > 0.0 && !it.hasExited })

    /** Whether all tasks are done. */
    val isComplete: Boolean get() = doneCount == spec.tasks

    /**
     * Whether its final record may be written: it is complete or cancelled, no task of it is placed, and no page of it
     * is being read or written.
     */
    val isFinalizable: Boolean
        get() = (isComplete || cancelled) && placements.isEmpty() && pages.values.none { it.inFlight }

    private companion object {
        /** The number of machines on which a job must have failed for the failures to be attributed to the job. */
        const val SUSPECT_MACHINES = 2

        /** The [demandIndex] of a job that is not ready yet and so does not count as demand. */
        const val NO_DEMAND = -1
    }
}
