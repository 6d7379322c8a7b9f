package plankwall.core.placement

import plankwall.core.queue.Feasibility
import plankwall.core.queue.Guarantees
import plankwall.core.queue.PendingQueue
import plankwall.core.state.EquivalenceClass
import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.model.JobSpec

/**
 * Decides which waiting task goes to which machine. A placement pass takes the waiting jobs in the order of the
 * [PendingQueue]. For each task it filters the machines, scores the remaining ones and binds the task to the best
 * ([FreeCapacity]).
 *
 * A pass looks only at machines with free capacity for the smallest waiting task, and skips each equivalence class of
 * tasks for which it has found no machine. With hundreds of machines and a long queue, searching all machines for every
 * job would take the CPU time that is needed to answer the workers.
 */
class Placer(private val ctx: Context, private val schedulerState: SchedulerState, private val fleet: Fleet) {
    /** Sorts the waiting jobs into the order in which they are placed. */
    val pendingQueue = PendingQueue(ctx, schedulerState, fleet)
    private val guarantees = Guarantees(ctx, schedulerState)
    private val capacity = FreeCapacity(ctx, fleet)
    private val gangPlacer = GangPlacer(ctx, schedulerState, fleet, capacity)
    private val preemptor = Preemptor(ctx, schedulerState, capacity, pendingQueue)
    private val cachedImages = CachedImageCapacity(ctx, capacity)

    /** The earliest time of the next preemption, in seconds of the monotonic clock. */
    private var nextPreemptionAt = 0.0

    /**
     * Whether a group may be expanded; set by the autoscaler. Where it may not, gangs wait for running tasks to end
     * instead of new machines.
     */
    var mayExpand: (GroupKey) -> Boolean by gangPlacer::mayExpand

    /** The jobs that had tasks left to place after the last pass, in the order of the queue. */
    var unplacedJobs: List<Job> = emptyList()
        private set

    /**
     * The state of one placement pass: the [usable] machines, those of them [withCapacity] left for the smallest
     * waiting task, and whether the pass may preempt.
     */
    private class Pass(val usable: List<Machine>, val withCapacity: List<Machine>, val preempts: Boolean) {
        /** Equivalence classes of tasks for which no machine has enough free capacity. */
        val unplaceable = HashSet<EquivalenceClass>()
        var placementsLeft = MAX_PLACEMENTS_PER_PASS
        val hasPlacementsLeft: Boolean get() = placementsLeft > 0
    }

    /** Runs one placement pass over all waiting jobs. */
    fun runPass() {
        guarantees.refresh()
        capacity.beginPass()
        gangPlacer.beginPass()
        cachedImages.beginPass()
        val pending = pendingQueue.sort(schedulerState.liveJobs.filter { isPending(it) })
        unplacedJobs = if (pending.isEmpty()) emptyList() else placeJobs(pending, beginPass(pending))
    }

    /**
     * Whether tasks of [job] may be placed now: its record is stored, its dependencies are done, some tasks wait, and
     * no retry backoff is running.
     */
    private fun isPending(job: Job): Boolean = job.ready &&
        !job.cancelled &&
        job.waiting.isNotEmpty() &&
        job.backoffUntil <= ctx.now &&
        job.version > 0

    /** Returns the state of a new pass over the [pending] jobs. Every [PREEMPTION_INTERVAL_S] a pass may preempt. */
    private fun beginPass(pending: List<Job>): Pass {
        val smallestNeed = pending.map { it.spec.need }.reduce { a, b -> a.minOfEach(b) }
        val usable = fleet.machines.filter { isUsable(it) }
        val preempts = ctx.now >= nextPreemptionAt
        if (preempts) {
            nextPreemptionAt = ctx.now + PREEMPTION_INTERVAL_S
            preemptor.beginPass()
        }
        return Pass(usable, usable.filter { smallestNeed.fitsIn(it.free) }, preempts)
    }

    /**
     * Places as many tasks of the [pending] jobs as possible, preempting where that is allowed. Returns the jobs that
     * have tasks left.
     */
    private fun placeJobs(pending: List<Job>, pass: Pass): List<Job> {
        val jobsWithTasksLeft = ArrayList<Job>()
        for (job in pending) {
            if (pass.hasPlacementsLeft) {
                val placed = if (job.isGangOfSeveral) {
                    gangPlacer.place(job, pass.withCapacity, pass.usable)
                } else {
                    placeTasks(job, pass)
                }
                pass.placementsLeft -= placed
                pendingQueue.onPlaced(job, placed)
            }
            if (job.waiting.isEmpty()) continue
            jobsWithTasksLeft.add(job)
            if (pass.preempts && pass.hasPlacementsLeft && mayPreempt(job)) preemptor.preemptFor(job, pass.usable)
        }
        return jobsWithTasksLeft
    }

    /**
     * Whether [job] may preempt in this pass. A job that is too late for all its objectives gains nothing from it, but
     * a job that its team's guarantee covers may preempt even then. Jobs that wait for a cached image and suspect jobs
     * may not.
     */
    private fun mayPreempt(job: Job): Boolean = !cachedImages.keepsWaiting(job) &&
        !job.isSuspected &&
        (job.guaranteed || pendingQueue.feasibility(job) != Feasibility.OUT_OF_REACH)

    /**
     * Whether [machine] may get tasks. Its worker need not have seen this leader's fencing token yet: the answer that
     * starts a task carries the token. If placement waited for that, a new machine would for a while count neither as
     * arriving nor as usable, and another would be requested in its place.
     */
    fun isUsable(machine: Machine): Boolean = fleet.isReady(machine) &&
        machine.type != null &&
        !machine.isBeingScaledIn &&
        !machine.faulty &&
        machine.terminationNoticeAt == Machine.NEVER &&
        machine.unknownTasks == 0 &&
        machine.blockedUntil <= ctx.now &&
        !machine.isNotReceivingAnswers &&
        !machine.awaitingHeartbeat

    /** Places the waiting tasks of [job] one by one, and returns the number of placed tasks. */
    private fun placeTasks(job: Job, pass: Pass): Int {
        if (isSkipped(job, pass)) return 0
        val placementLimit = maxPlacements(job, pass)
        var placed = 0
        var keptWaiting = 0
        var candidates: CandidateQueue? = null
        while (placed < placementLimit && job.waiting.size > keptWaiting) {
            if (!schedulerState.isWithinQuota(job.team, job.spec.need)) break
            val zones = ZoneConstraint(job)
            if (candidates == null && minOf(placementLimit, job.waiting.size) > 1) {
                candidates = CandidateQueue(capacity, job, pass.withCapacity, zones)
            }
            val machine =
                if (candidates == null) capacity.findBest(job, pass.withCapacity, zones) else candidates.findBest(zones)
            if (machine == null) {
                recordUnplaceable(job, zones, pass)
                break
            }
            if (cachedImages.promiseSoonerMachine(job, machine, pass.usable, zones)) {
                keptWaiting++
                continue
            }
            schedulerState.place(job, job.waiting.first(), machine, schedulerState.newAttempt())
            candidates?.onPlaced()
            placed++
        }
        return placed
    }

    /**
     * Records that no machine has enough free capacity for a task of [job]. Free capacity only shrinks within a pass,
     * so this holds for the whole equivalence class, unless the zone constraint or the failures of this job may have
     * ruled out machines.
     */
    private fun recordUnplaceable(job: Job, zones: ZoneConstraint, pass: Pass) {
        if (!zones.isBinding && job.failedMachines.isEmpty()) pass.unplaceable.add(job.equivalenceClass)
    }

    /**
     * Returns how many tasks of [job] this pass may place. A suspect job, which fails wherever it runs, is retried one
     * task at a time.
     */
    private fun maxPlacements(job: Job, pass: Pass): Int =
        if (job.isSuspected) 1 else minOf(pass.placementsLeft, pendingQueue.maxPlacements(job))

    /** Whether it is known without a search that no task of [job] can be placed in this pass. */
    private fun isSkipped(job: Job, pass: Pass): Boolean {
        if ((job.isGang || job.isSuspected) && job.placements.isNotEmpty()) return true
        return capacity.reservedTasks(job) == 0 && job.equivalenceClass in pass.unplaceable
    }

    /** Returns the number of waiting tasks of [job] for which no capacity is reserved or held. */
    fun countUnreservedTasks(job: Job): Int =
        (job.waiting.size - capacity.reservedTasks(job) - gangPlacer.tasksWithHeldCapacity(job)).coerceAtLeast(0)

    companion object {
        private const val MAX_PLACEMENTS_PER_PASS = 64
        private const val PREEMPTION_INTERVAL_S = 0.3

        /** Whether [spec] allows the type, zone and purchase kind of [machine]; false if these are not known. */
        fun isAllowed(spec: JobSpec, machine: Machine): Boolean = machine.group?.let { isAllowed(spec, it) } ?: false

        /** Whether [spec] allows machines of [group]. */
        fun isAllowed(spec: JobSpec, group: GroupKey): Boolean = (spec.spot || !group.spot) &&
            (spec.types == null || group.type in spec.types) &&
            (spec.zone == null || spec.zone == group.zone)
    }
}
