package plankwall.core.state

import plankwall.model.ImageIndex
import plankwall.model.JobIndex
import plankwall.model.JobSpec
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.model.TeamIndex
import plankwall.wire.JobProgress
import plankwall.wire.Keys
import java.util.BitSet

/**
 * A live job: its specification, and what the leader knows of its tasks.
 *
 * [SchedulerState] owns the tasks' state ([done], [placements], [waiting]), cancellation and readiness;
 * [DependencyTracker] the effective [priority] and [dueMs]; [StateWriter] with its parts the versions, [storedDone] and
 * [finishing]. Fault attribution sets the fields on failures, placement those on gathering and quota. Stored are the
 * job's record (written when it is submitted or cancelled), its pages of [done] and [placements], and in the end its
 * final record. All else is worked out anew by each leader.
 */
class Job(
    val ix: JobIndex,
    val spec: JobSpec,
    val team: TeamIndex,
    val image: ImageIndex,
    val pageSize: Int,
    val submittedMs: Long,
    val learnedAt: Double,
    private val expected: Boolean = true,
) {
    /** The version of the job's record, guarded by every write about it, so that no start follows a cancellation. */
    var version = 0L

    /** Who proved to have submitted it, where callers prove who they are. */
    var owner: String? = null

    /** Its user cancelled it, or it depends on a cancelled one: nothing of it starts any more. */
    var cancelled = false

    /** When it was cancelled, in milliseconds of the time of day; 0 if it was not. */
    var cancelledMs = 0L

    /** The write of its final record is under way. */
    var finishing = false

    /** Cancelled because of a job that it depends on: that follows from what is stored already. */
    var cancelledByDependency = false

    /** All jobs that it depends on are done. Until then it is no demand, and nothing of it starts. */
    var ready = false

    /**
     * From when on its waiting counts: its submission, or the end of the last job that it depends on, in milliseconds
     * of the time of day.
     */
    var readyMs = submittedMs

    /** When this leader saw it become ready, in seconds of the steady clock. */
    var readyAt = learnedAt

    /** Another job waits for it. */
    var needed = false
        set(value) {
            field = value
            equivalenceClass = equivalenceClassFor(priority)
        }

    /**
     * It has no objective and no deadline, no guarantee covers it and no other job waits for it, so it takes leftover
     * capacity. It goes last among its equals, keeps no ordinary machine from being scaled in, and causes scale-out
     * only where that costs next to nothing.
     */
    val bestEffort: Boolean
        get() = !expected &&
            !needed &&
            spec.shape != Shape.SERVICE &&
            spec.deadlineS == null &&
            dueMs == Long.MAX_VALUE &&
            spec.dependencies.isEmpty()

    /**
     * A best-effort job that has waited for long. Where no capacity is ever left over it would starve, so it may cost
     * more from now on.
     */
    var starving = false
        set(value) {
            field = value
            equivalenceClass = equivalenceClassFor(priority)
        }

    /** Rises in the order in which jobs became demand. */
    var demandIx = NO_DEMAND

    /** Its own priority, or the higher one of a job that needs it. */
    var priority = spec.priority
        set(value) {
            field = value
            equivalenceClass = equivalenceClassFor(value)
        }

    /** Its own deadline in milliseconds of the time of day, or [Long.MAX_VALUE]. */
    val ownDueMs: Long = spec.deadlineS?.let { submittedMs + (it * 1000).toLong() } ?: Long.MAX_VALUE

    /** Its own deadline, or the earlier one that follows from a job that needs it. */
    var dueMs = ownDueMs

    /** The tasks that are done. */
    val done = BitSet(spec.tasks)

    /** How many tasks are [done]. */
    var doneCount = 0

    /** What of [done] the state service holds. */
    val storedDone = BitSet()

    /** By task: the attempt that is not proven gone. */
    val placements = HashMap<Int, Placement>()

    /** By the number in the stored key: the pages, and the parts of pages that were split. */
    val pages = HashMap<Int, TaskPage>()

    /** Tasks neither done nor placed, in the order in which they are to be tried. */
    val waiting = ArrayDeque<Int>()

    /** No task of it is placed before this time. */
    var backoffUntil = 0.0

    /** A task to start, or the user of a cancelled job, waits for what is to be written. */
    var urgent = false

    /** When its oldest change came up that is not written yet. */
    var dirtySince = 0.0

    /** Indices of the machines on which a task of it failed and that are not known to be faulty themselves. */
    val failedOn = HashSet<Int>()

    /**
     * A task of it finished, or ran for long where others failed at once: failures from now on are not attributed to
     * the job.
     */
    var provenSound = false

    /** The longest, in seconds, that a task of it ran before it failed. */
    var longestFailS = 0.0

    /** Attempts that failed in a row since it became [suspect]. */
    var failedProbes = 0

    /**
     * It failed on more than one machine and ran well nowhere: likely submitted with a mistake. It is retried one task
     * at a time with a growing backoff; until it runs well it causes no scale-out and no preemption, and its failures
     * are not attributed to machines.
     */
    val suspect: Boolean get() = !provenSound && failedOn.size >= SUSPECT_MACHINES

    /** It fits into its team's guarantee together with the team's earlier unfinished jobs. */
    var guaranteed = false

    /** Its tasks start together or not at all. */
    val isGang: Boolean get() = spec.shape == Shape.GANG

    /** A gang of one task has no others to wait for and is treated as any other task. */
    val isGangOfSeveral: Boolean get() = isGang && spec.tasks > 1

    /** The class in which its tasks fit the same machines as those of other jobs. */
    var equivalenceClass = equivalenceClassFor(spec.priority)
        private set

    private fun equivalenceClassFor(priority: Priority) =
        EquivalenceClass(spec.need, spec.types, spec.zone, spec.spot, priority, bestEffort, starving)

    /** The zone in which capacity for a gang is being gathered. */
    var gatherZone: String? = null

    /** Since when capacity is gathered in [gatherZone]. */
    var gatherSince = 0.0

    /** The page, or the part of a split one, that holds [task]. */
    fun pageOf(task: Int): TaskPage {
        val whole = page(task / pageSize)
        val part = if (whole.partSize > 0) task % pageSize / whole.partSize else 0
        return if (part == 0) whole else page(Keys.part(whole.number, part))
    }

    /** The page with the key's [number]; a part whose page is not split covers nothing. */
    fun page(number: Int): TaskPage = pages.getOrPut(number) {
        TaskPage(number).apply {
            val whole = Keys.wholeOf(number)
            val from = whole * pageSize
            if (number == whole) {
                cover(from, minOf(from + pageSize, spec.tasks))
            } else {
                pages[whole]?.let { coverPart(it, from) }
            }
        }
    }

    private fun TaskPage.coverPart(whole: TaskPage, from: Int) {
        if (whole.partSize == 0) return
        val start = from + Keys.partOf(number) * whole.partSize
        cover(start, minOf(start + whole.partSize, from + pageSize, spec.tasks))
    }

    /** Records that [task] is done for good. */
    fun markDone(task: Int) {
        if (task >= spec.tasks || done[task]) return
        done.set(task)
        doneCount++
        // A placed task is not waiting: searching all tasks of a huge job would be for nothing.
        if (task !in placements) waiting.remove(task)
        pageOf(task).dirty = true
    }

    /** How many tasks are done and how many run now. */
    val progress: JobProgress
        get() = JobProgress(spec.id, doneCount, placements.values.count { it.runningSince > 0.0 && !it.ended })

    /** All tasks are done. */
    val complete: Boolean get() = doneCount == spec.tasks

    /** It is over and nothing of it is placed or being written, so its final record may be. */
    val isFinalizable: Boolean
        get() = (complete || cancelled) && placements.isEmpty() && pages.values.none { it.inFlight }

    private companion object {
        /** Failures on as many machines are attributed to the job. */
        const val SUSPECT_MACHINES = 2

        /** [demandIx] of a job that is not demand yet. */
        const val NO_DEMAND = -1
    }
}
