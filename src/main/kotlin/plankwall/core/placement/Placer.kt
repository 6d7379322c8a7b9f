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
 * Decides which waiting task goes to which machine. A pass takes the waiting jobs in the order of the [PendingQueue];
 * for each task it filters the machines, scores those that are left and binds the task to the best ([FreeCapacity]).
 *
 * A pass looks only at machines with room for the smallest waiting task, and gives up at once on a kind of task for
 * which it found none before: with hundreds of machines and a long queue, searching them all for every job would take
 * the processor that answering the workers needs.
 */
class Placer(private val ctx: Context, private val schedulerState: SchedulerState, private val fleet: Fleet) {
    /** The order of the waiting jobs. */
    val pendingQueue = PendingQueue(ctx, schedulerState, fleet)
    private val guarantees = Guarantees(ctx, schedulerState)
    private val capacity = FreeCapacity(ctx, fleet)
    private val gangPlacer = GangPlacer(ctx, schedulerState, fleet, capacity)
    private val preemptor = Preemptor(ctx, schedulerState, capacity, pendingQueue)
    private val cachedImages = CachedImageCapacity(ctx, capacity)
    private var nextPreemptionAt = 0.0

    /** Set by the autoscaler: where a group may not be expanded, gangs wait for what comes free instead. */
    var mayExpand: (GroupKey) -> Boolean by gangPlacer::mayExpand

    /** Jobs with tasks that found no room in the last pass, in the order of the queue. */
    var unplaced: List<Job> = emptyList()
        private set

    /** What one pass works with. */
    private class Pass(val usable: List<Machine>, val withRoom: List<Machine>, val preempts: Boolean) {
        /** Kinds of task for which no machine has room. */
        val withoutRoom = HashSet<EquivalenceClass>()
        var placementsLeft = MAX_PLACEMENTS_PER_PASS
        val isOpen: Boolean get() = placementsLeft > 0
    }

    /** Runs one pass over all waiting jobs. */
    fun plan() {
        guarantees.refresh()
        capacity.beginPass()
        gangPlacer.beginPass()
        cachedImages.beginPass()
        val pending = pendingQueue.sort(schedulerState.live.filter { isPending(it) })
        unplaced = if (pending.isEmpty()) emptyList() else serve(pending, beginPass(pending))
    }

    private fun isPending(job: Job): Boolean = job.ready &&
        !job.cancelled &&
        job.waiting.isNotEmpty() &&
        job.backoffUntil <= ctx.now &&
        job.version > 0

    private fun beginPass(pending: List<Job>): Pass {
        val smallest = pending.map { it.spec.need }.reduce { a, b -> a.least(b) }
        val usable = fleet.machines.filter { usable(it) }
        val preempts = ctx.now >= nextPreemptionAt
        if (preempts) {
            nextPreemptionAt = ctx.now + PREEMPTION_INTERVAL_S
            preemptor.beginPass()
        }
        return Pass(usable, usable.filter { smallest.fitsIn(it.free) }, preempts)
    }

    /** Places what it can of [pending] jobs, and returns those with tasks left. */
    private fun serve(pending: List<Job>, pass: Pass): List<Job> {
        val left = ArrayList<Job>()
        for (job in pending) {
            if (pass.isOpen) {
                val placed =
                    if (job.isGangOfSeveral) {
                        gangPlacer.place(
                            job,
                            pass.withRoom,
                            pass.usable,
                        )
                    } else {
                        placeTasks(job, pass)
                    }
                pass.placementsLeft -= placed
                pendingQueue.onPlaced(job, placed)
            }
            if (job.waiting.isEmpty()) continue
            left.add(job)
            if (pass.preempts && pass.isOpen && mayPreempt(job)) preemptor.makeRoom(job, pass.usable)
        }
        return left
    }

    /**
     * A job that is too late for all its objectives gains nothing by preempting others; what is guaranteed is owed all
     * the same.
     */
    private fun mayPreempt(job: Job): Boolean = !cachedImages.keepsWaiting(job) &&
        !job.suspect &&
        (job.guaranteed || pendingQueue.feasibility(job) != Feasibility.OUT_OF_REACH)

    /**
     * Whether [machine] may get tasks. Its worker need not have seen this leader's fencing token: the answer that
     * starts a task brings the token. Waiting for it would leave a new machine neither arriving nor usable for a while,
     * and another would be requested in its place.
     */
    fun usable(machine: Machine): Boolean = fleet.isReady(machine) &&
        machine.type != null &&
        !machine.returning &&
        !machine.faulty &&
        machine.noticeAt == Machine.NEVER &&
        machine.unknownTasks == 0 &&
        machine.blockedUntil <= ctx.now &&
        !machine.unresponsive &&
        !machine.awaitingHeartbeat

    /** Places the waiting tasks of [job] one by one, and returns how many. */
    private fun placeTasks(job: Job, pass: Pass): Int {
        if (isSkipped(job, pass)) return 0
        val max = maxPlacements(job, pass)
        var placed = 0
        var keptWaiting = 0
        var candidates: CandidateQueue? = null
        while (placed < max && job.waiting.size > keptWaiting) {
            if (!schedulerState.withinLimit(job.team, job.spec.need)) break
            val zones = ZoneConstraint(job)
            if (candidates == null && minOf(max, job.waiting.size) > 1) {
                candidates = CandidateQueue(capacity, job, pass.withRoom, zones)
            }
            val machine =
                if (candidates == null) capacity.best(job, pass.withRoom, zones) else candidates.best(zones)
            if (machine == null) {
                recordNoRoom(job, zones, pass)
                break
            }
            if (cachedImages.comesSooner(job, machine, pass.usable, zones)) {
                keptWaiting++
                continue
            }
            schedulerState.place(job, job.waiting.first(), machine, schedulerState.newAttempt())
            candidates?.onPlaced()
            placed++
        }
        return placed
    }

    /** Room only shrinks within a pass: what holds for [job] holds for all of its equivalence class. */
    private fun recordNoRoom(job: Job, zones: ZoneConstraint, pass: Pass) {
        if (!zones.isBinding && job.failedOn.isEmpty()) pass.withoutRoom.add(job.equivalenceClass)
    }

    /** A job that fails wherever it runs is tried with one task at a time. */
    private fun maxPlacements(job: Job, pass: Pass): Int =
        if (job.suspect) 1 else minOf(pass.placementsLeft, pendingQueue.maxPlacements(job))

    /** Whether nothing of [job] can be placed in this pass, as is known without a search. */
    private fun isSkipped(job: Job, pass: Pass): Boolean {
        if ((job.isGang || job.suspect) && job.placements.isNotEmpty()) return true
        return capacity.reservedTasks(job) == 0 && job.equivalenceClass in pass.withoutRoom
    }

    /** How many tasks of [job] neither have a place nor one being made or held for them. */
    fun unreserved(job: Job): Int =
        (job.waiting.size - capacity.reservedTasks(job) - gangPlacer.heldFor(job)).coerceAtLeast(0)

    companion object {
        private const val MAX_PLACEMENTS_PER_PASS = 64
        private const val PREEMPTION_INTERVAL_S = 0.3

        /** Filter: whether [spec] allows the type, zone and kind of [machine]. */
        fun allowed(spec: JobSpec, machine: Machine): Boolean = machine.group?.let { allowed(spec, it) } ?: false

        /** Filter: whether [spec] allows machines of [group]. */
        fun allowed(spec: JobSpec, group: GroupKey): Boolean = (spec.spot || !group.spot) &&
            (spec.types == null || group.type in spec.types) &&
            (spec.zone == null || spec.zone == group.zone)
    }
}
