package plankwall.core.placement

import plankwall.core.queue.Feasibility
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
import plankwall.model.Resources

/**
 * Decides which waiting task goes to which machine. A pass looks only at machines with room for the smallest waiting
 * task, and gives up at once on a kind of task for which it found none before: with hundreds of machines and a long
 * queue, searching them all for every job would take the processor that answering the workers needs.
 */
class Placer(private val ctx: Context, private val schedulerState: SchedulerState, private val fleet: Fleet) {
    val backlog = PendingQueue(ctx, schedulerState, fleet)
    private val room = FreeCapacity(ctx, fleet)
    private val gangs = GangPlacer(ctx, schedulerState, fleet, room)
    private val preemptor = Preemptor(ctx, schedulerState, room, backlog)
    private val warm = CachedImageCapacity(ctx, room)
    private var markedAt = Machine.NEVER
    private var markedFor = -1
    private var nextPreemption = 0.0

    /** Told by the rental loop: where nothing can be rented, gangs wait for what comes free instead. */
    fun rentsWhere(mayExpand: (GroupKey) -> Boolean) {
        gangs.mayExpand = mayExpand
    }

    /** Jobs with tasks that found no room in the last pass, in order of their standing. */
    var unplaced: List<Job> = emptyList()
        private set

    fun plan() {
        markGuaranteed()
        room.beginPass()
        gangs.beginPass()
        warm.beginPass()
        val pending = pending()
        if (pending.isEmpty()) {
            unplaced = emptyList()
            return
        }
        val least = pending.map { it.spec.need }.reduce { a, b -> a.least(b) }
        val usable = fleet.machines.filter { usable(it) }
        val roomy = usable.filter { least.fitsIn(it.free) }
        val full = HashSet<EquivalenceClass>()
        var budget = MAX_PER_PASS
        val left = ArrayList<Job>()
        val preempting = ctx.now >= nextPreemption
        if (preempting) {
            nextPreemption = ctx.now + PREEMPT_EVERY_S
            preemptor.beginPass()
        }
        for (job in pending) {
            if (budget > 0) {
                val placed = if (job.isGangOfSeveral) {
                    gangs.place(
                        job,
                        roomy,
                        usable,
                    )
                } else {
                    placeTasks(job, roomy, usable, full, budget)
                }
                budget -= placed
                backlog.placed(job, placed)
            }
            if (job.waiting.isEmpty()) continue
            left.add(job)
            if (warm.holds(job)) continue
            if (preempting && budget > 0 && !job.suspect && isWorthStopping(job)) preemptor.makeRoom(job, usable)
        }
        unplaced = left
    }

    private fun pending(): List<Job> = backlog.order(
        schedulerState.live.filter {
            it.ready &&
                !it.cancelled &&
                it.waiting.isNotEmpty() &&
                it.backoffUntil <= ctx.now &&
                it.version > 0
        },
    )

    /** What is too late for all its aims wins nothing by stopping others; what is owed is owed all the same. */
    private fun isWorthStopping(job: Job): Boolean = job.guaranteed || backlog.prospect(job) != Feasibility.OUT_OF_REACH

    /** A team's jobs in order of submission, as long as they fit into its guarantee together. */
    private fun markGuaranteed() {
        if (ctx.now < markedAt + MARK_EVERY_S && schedulerState.changes == markedFor) return
        markedAt = ctx.now
        markedFor = schedulerState.changes
        val sums = HashMap<Int, Resources>()
        for (job in schedulerState.live.sortedBy { it.submittedMs }) {
            val team = ctx.settings.teams[job.team.value]
            // One that waits for others holds no part of it.
            if (!team.hasGuarantee || !job.ready) continue
            val sum = (sums[job.team.value] ?: Resources.NONE) + job.spec.need * (job.spec.tasks - job.doneCount)
            sums[job.team.value] = sum
            job.guaranteed = (team.cpus == 0L || sum.cpus <= team.cpus) && (team.gpus == 0L || sum.gpus <= team.gpus)
        }
    }

    /**
     * A worker need not have seen our token to be given work: the answer that starts it brings the token. Waiting for
     * it would leave a new machine neither arriving nor usable for a while, and another would be rented in its place.
     */
    fun usable(m: Machine): Boolean = fleet.isReady(m) &&
        m.type != null &&
        !m.returning &&
        !m.faulty &&
        m.noticeAt == Machine.NEVER &&
        m.unknownTasks == 0 &&
        m.blockedUntil <= ctx.now &&
        !m.unresponsive &&
        !m.awaitingHeartbeat

    private fun placeTasks(
        job: Job,
        roomy: List<Machine>,
        usable: List<Machine>,
        full: HashSet<EquivalenceClass>,
        budget: Int,
    ): Int {
        if ((job.isGang || job.suspect) && job.placements.isNotEmpty()) return 0
        if (room.reserved(job) == 0 && job.equivalenceClass in full) return 0
        var placed = 0
        var held = 0
        // One that fails wherever it runs is tried with one task at a time.
        val most = if (job.suspect) 1 else minOf(budget, backlog.most(job))
        var queue: CandidateQueue? = null
        while (placed < most && job.waiting.size > held) {
            if (!schedulerState.withinLimit(job.team, job.spec.need)) break
            val zones = ZoneConstraint(job)
            if (queue == null && minOf(most, job.waiting.size) > 1) queue = CandidateQueue(room, job, roomy, zones)
            val m = if (queue == null) room.best(job, roomy, zones) else queue.best(zones)
            if (m == null) {
                // Room only shrinks within a pass: what holds for this job holds for all that ask for the same.
                if (!zones.isBinding && job.failedOn.isEmpty()) full.add(job.equivalenceClass)
                break
            }
            if (warm.comesSooner(job, m, usable, zones)) {
                held++
                continue
            }
            schedulerState.place(job, job.waiting.first(), m, schedulerState.newAttempt())
            queue?.placed()
            placed++
        }
        return placed
    }

    /** Tasks of [job] that neither have a place nor one being made or kept for them. */
    fun unreserved(job: Job): Int = (job.waiting.size - room.reserved(job) - gangs.heldFor(job)).coerceAtLeast(0)

    companion object {
        private const val MAX_PER_PASS = 64
        private const val MARK_EVERY_S = 1.0
        private const val PREEMPT_EVERY_S = 0.3

        /** Type, zone and kind as the job allows them, room aside. */
        fun allowed(spec: JobSpec, m: Machine): Boolean = m.group?.let { allowed(spec, it) } ?: false

        fun allowed(spec: JobSpec, group: GroupKey): Boolean = (spec.spot || !group.spot) &&
            (spec.types == null || group.type in spec.types) &&
            (spec.zone == null || spec.zone == group.zone)
    }
}
