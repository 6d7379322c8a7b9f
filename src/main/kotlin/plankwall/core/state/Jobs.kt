package plankwall.core.state

import plankwall.model.ImageIndex
import plankwall.model.JobIndex
import plankwall.model.JobSpec
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.model.TeamIndex
import plankwall.wire.JobProgress
import plankwall.wire.Keys
import plankwall.wire.TaskStage
import java.util.BitSet

/** Why a placement is being ended. */
enum class StopCause { CANCELLED, PREEMPTED, DRAINED, GANG }

/**
 * One attempt of one task on one machine. From the moment it is planned until there is proof that the task is gone,
 * it counts against quota, room and zone rules.
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: Machine, val session: Long) {
    /** The state service holds it: only then may `run` be sent. */
    var stored = false

    /** `run` was put into an answer of this leader, or may have been by an earlier one. */
    var commanded = false

    /** The worker reported it. */
    var seen = false
    var stage: TaskStage? = null
    var stopping: StopCause? = null
    var stopSince = 0.0

    /** The stop was sent directly, once; check-in answers repeat it. */
    var stopPosted = false
    var runningSince = 0.0
    var plannedAt = 0.0
    var graceS = 0.0

    /** The worker reported its end; only the bookkeeping is left. */
    var ended = false

    val id: String get() = "${job.spec.id}/$task#$attempt"

    /** Seconds until the task should end; null if nobody can say. Owners are often wrong by half. */
    fun endsIn(now: Double): Double? {
        val spec = job.spec
        if (stopping != null) return STOP_S
        if (spec.shape == Shape.SERVICE || runningSince <= 0.0) return null
        val ran = now - runningSince
        return if (ran > spec.estimateS * 1.5) null else maxOf(spec.estimateS - ran, spec.estimateS * 0.25)
    }

    private companion object {
        const val STOP_S = 2.0
    }
}

/** A slice of a job's tasks that is stored under one key: a page, or a part of one that was divided. */
class TaskPage(val number: Int) {
    var from = 0
        private set
    var to = 0
        private set
    var version = 0L
    var dirty = false
    var inFlight = false

    /** After an answer that did not come, the stored version is unknown and is read before the next write. */
    var reread = false

    /** 0, or how many tasks each of the keys holds among which this page is divided. */
    var partSize = 0

    /**
     * The size at which the store refused it for good; and that it was refused among others, so is to be tried alone.
     */
    var refusedBytes = 0
    var alone = false

    val tasks: Int get() = to - from

    fun cover(from: Int, to: Int) {
        this.from = from
        this.to = to
    }
}

/**
 * All that decides whether a task fits somewhere, its job's other tasks aside; the priority because it decides which
 * reserved room is open to it.
 */
data class EquivalenceClass(
    val need: Resources,
    val types: List<String>?,
    val zone: String?,
    val spot: Boolean,
    val priority: Priority,
    val bestEffort: Boolean,
    val starving: Boolean,
)

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
    /** The version of the job's record, guarded by every write about it, so that no start follows a withdrawal. */
    var version = 0L

    /** Who proved to have submitted it, where callers prove who they are. */
    var owner: String? = null
    var cancelled = false
    var cancelledMs = 0L
    var finishing = false

    /** Withdrawn for the sake of a job that it needs: that follows from what is stored already. */
    var cancelledByDependency = false

    /** All jobs that it needs are done. Until then it is no demand, and nothing of it starts. */
    var ready = false

    /** From when on its waiting counts: its submission, or the end of the last job that it needs. */
    var readyMs = submittedMs
    var readyAt = learnedAt

    /** Another job waits for it. */
    var needed = false
        set(value) {
            field = value
            equivalenceClass = equivalenceClassFor(priority)
        }

    /**
     * Nobody said by when it should start or be done, no guarantee covers it and no other job waits for it: it takes
     * what is left. It goes last among its equals, keeps no ordinary machine from being returned, and is rented for
     * only by the way.
     */
    val bestEffort: Boolean
        get() = !expected &&
            !needed &&
            spec.shape != Shape.SERVICE &&
            spec.deadlineS == null &&
            dueMs == Long.MAX_VALUE &&
            spec.dependencies.isEmpty()

    /**
     * Spare-time work that has waited for long: where what is left never comes, it starves, so it may cost more from
     * now on.
     */
    var starving = false
        set(value) {
            field = value
            equivalenceClass = equivalenceClassFor(priority)
        }

    /** Rises in the order in which jobs became demand. */
    var demandIx = NO_DEMAND

    /** Its own priority, or the higher one of a job that needs it; likewise the time by which it should be over. */
    var priority = spec.priority
        set(value) {
            field = value
            equivalenceClass = equivalenceClassFor(value)
        }
    val ownDueMs: Long = spec.deadlineS?.let { submittedMs + (it * 1000).toLong() } ?: Long.MAX_VALUE
    var dueMs = ownDueMs
    val done = BitSet(spec.tasks)
    var doneCount = 0

    /** What of [done] the state service holds. */
    val storedDone = BitSet()
    val placements = HashMap<Int, Placement>()
    val pages = HashMap<Int, TaskPage>()

    /** Tasks neither done nor placed, in the order in which they are to be tried. */
    val waiting = ArrayDeque<Int>()
    var backoffUntil = 0.0

    /** Somebody waits for what is to be written: a task to start, or the user of a withdrawn job. */
    var urgent = false
    var dirtySince = 0.0

    /** Machines on which a task of it failed, and that are not known to be faulty themselves. */
    val failedOn = HashSet<Int>()

    /**
     * A task of it came to its end, or ran for long where others failed at once: whatever fails from now on, the job
     * does not.
     */
    var provenSound = false

    /** The longest, in seconds, that a task of it ran before it failed. */
    var longestFailS = 0.0

    /** Tries that failed in a row since it fell under suspicion. */
    var failedProbes = 0

    /**
     * It failed on more than one machine and ran well nowhere: likely submitted with a mistake. It is tried again one
     * task at a time, ever more rarely; until it runs well it rents nothing, preempts nobody, and says nothing against
     * a machine.
     */
    val suspect: Boolean get() = !provenSound && failedOn.size >= 2

    /** Fits into its team's guarantee together with the team's earlier unfinished jobs. */
    var guaranteed = false

    val isGang: Boolean get() = spec.shape == Shape.GANG

    /** A gang of one has nobody to wait for and is treated as any other task. */
    val isGangOfSeveral: Boolean get() = isGang && spec.tasks > 1

    var equivalenceClass = equivalenceClassFor(spec.priority)
        private set

    private fun equivalenceClassFor(priority: Priority) =
        EquivalenceClass(spec.need, spec.types, spec.zone, spec.spot, priority, bestEffort, starving)

    /** The zone in which room for a gang is being gathered, and since when. */
    var gatherZone: String? = null
    var gatherSince = 0.0

    fun pageOf(task: Int): TaskPage {
        val whole = page(task / pageSize)
        val part = if (whole.partSize > 0) task % pageSize / whole.partSize else 0
        return if (part == 0) whole else page(Keys.part(whole.number, part))
    }

    /** The page with the key's [number]; a part whose page is not divided covers nothing. */
    fun page(number: Int): TaskPage = pages.getOrPut(number) {
        TaskPage(number).apply {
            val whole = Keys.wholeOf(number)
            val from = whole * pageSize
            if (number ==
                whole
            ) {
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

    fun markDone(task: Int) {
        if (task >= spec.tasks || done[task]) return
        done.set(task)
        doneCount++
        // A placed task is not among the waiting; a search through all of a huge job's would be for nothing.
        if (task !in placements) waiting.remove(task)
        pageOf(task).dirty = true
    }

    val progress: JobProgress
        get() = JobProgress(spec.id, doneCount, placements.values.count { it.runningSince > 0.0 && !it.ended })

    val complete: Boolean get() = doneCount == spec.tasks

    private companion object {
        const val NO_DEMAND = -1
    }
}
