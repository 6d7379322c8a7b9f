package plankwall.core.queue

import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.model.Team

/**
 * The order in which waiting jobs are served. With room for all it is the order of standing and age. Where a team's
 * limit or the cloud's capacity leaves less room than there is work, what can still meet its aims goes before what
 * can't any more: served strictly by age, a backlog of two minutes makes every job that it serves late.
 */
class PendingQueue(private val ctx: Context, private val schedulerState: SchedulerState, private val fleet: Fleet) {
    private val prospects = HashMap<Job, Feasibility>()
    private val floors = MinimumShare(ctx)
    private val catchingUp = HashMap<String, OverdueShare>()
    private val binding = BindingLimit(ctx)
    private var judgedAt = Machine.NEVER
    private var machines: CapacityPool? = null

    /** The oldest of each class that is out of reach. */
    private var overdue: Map<String, Job> = emptyMap()
    private var holders = HashMap<Int, Int>()
    private var fleetSize = 0

    /** Told by the rental loop: whether the cloud has no machine now that a job may use. */
    var isScarce: (Job) -> Boolean = { false }

    /**
     * Whether the limit of its team keeps [job] waiting, whatever is rented. Live services go first within a limit, so
     * they are not held.
     */
    fun heldByLimit(job: Job): Boolean = job.team.value in binding.teams && job.spec.shape != Shape.SERVICE

    fun prospect(job: Job): Feasibility = prospects[job] ?: Feasibility.IN_TIME

    /** Whether tasks of [job] are spared by work of higher priority, live services and guarantees aside. */
    fun isSpared(job: Job): Boolean = floors.isSpared(job)

    /** How many tasks of [job] may be placed in this pass. */
    fun most(job: Job): Int = if (job.spec.shape == Shape.SERVICE) Int.MAX_VALUE else floors.most(job)

    fun order(pending: List<Job>): List<Job> {
        if (ctx.now >= judgedAt + EVERY_S) judge(pending)
        val due = overdue.filterKeys { catchingUp[it]?.isDue == true }.values.toSet()
        return pending.sortedWith(
            compareByDescending<Job> { it.guaranteed }.thenByDescending { floors.rank(it) }.thenBy { it.bestEffort }
                .thenByDescending {
                    it in due
                }.thenByDescending { prospect(it) != Feasibility.OUT_OF_REACH && pressing(it) }
                .thenBy { prospect(it) }.thenBy { it.submittedMs },
        )
    }

    /** A stage that must start by now, going by the deadline of the job that its user waits for. */
    private fun pressing(job: Job): Boolean =
        job.dueMs != Long.MAX_VALUE && job.dueMs - (job.spec.estimateS * 1000).toLong() <= ctx.time.wallMs

    /** [tasks] of [job] got a place. */
    fun placed(job: Job, tasks: Int) {
        if (tasks == 0 || job.spec.shape == Shape.SERVICE) return
        val pool = machines ?: return
        floors.placed(job, tasks)
        val jobClass = job.spec.jobClass
        catchingUp.getOrPut(jobClass) { OverdueShare() }.gave(
            prospect(job),
            pool.workS(job, tasks, holdsS(job)),
            jobClass in overdue,
        )
    }

    /** [tasks] of [job] are being stopped for the sake of others. */
    fun stopped(job: Job, tasks: Int) = floors.placed(job, -tasks)

    private fun judge(pending: List<Job>) {
        judgedAt = ctx.now
        prospects.clear()
        val (services, rest) = pending.partition { it.spec.shape == Shape.SERVICE }
        countImages()
        byTeam(services, rest)
        val scarce = rest.filter { isScarce(it) }
        val all = capacity()
        val short = scarce.isNotEmpty() || binding.teams.isNotEmpty()
        val pool = if (short) {
            CapacityPool(
                ctx,
                all,
                fleet.machines.asSequence().flatMap {
                    it.placements.values
                },
                waiting(services),
            )
        } else {
            null
        }
        floors.refresh(schedulerState.live, scarce.isNotEmpty(), pool?.size ?: Resources.NONE, ::holdsS)
        if (pool != null && scarce.isNotEmpty()) {
            val modest = FairShare.modest(rest, all, ::demandOf, schedulerState::used)
            for ((jobClass, jobs) in rest.filter {
                prospect(it) != Feasibility.OUT_OF_REACH
            }.groupBy { it.spec.jobClass }) {
                pool.judge(
                    blocks(jobs) {
                        it.team.value in modest
                    },
                    floors.shareOf(jobClass),
                    jobClass,
                    ::holdsS,
                    ::worse,
                )
            }
        }
        machines = pool
        overdue =
            rest.filter {
                prospect(it) == Feasibility.OUT_OF_REACH
            }.groupBy { it.spec.jobClass }.mapValues { (_, jobs) -> jobs.minBy { it.submittedMs } }
        binding.tell(scarce, prospects, floors)
    }

    /** A team's limit is a pool of its own, whatever the cloud has. */
    private fun byTeam(services: List<Job>, rest: List<Job>) {
        val all = (services + rest).groupBy { it.team.value }
        binding.beginTeams()
        for ((ix, jobs) in all) {
            val team = ctx.settings.teams[ix]
            val wanted = waiting(jobs)
            if (team.allows(schedulerState.used(jobs.first().team) + wanted)) continue
            binding.held(ix, jobs, schedulerState.used(jobs.first().team))
            val placed = schedulerState.live.asSequence().filter {
                it.team.value == ix
            }.flatMap { it.placements.values }
            val pool = CapacityPool(ctx, limitOf(team), placed, waiting(jobs.filter { it.spec.shape == Shape.SERVICE }))
            pool.judge(blocks(jobs.filter { it.spec.shape != Shape.SERVICE }), 1.0, null, ::holdsS, ::worse)
        }
        binding.endTeams()
    }

    /** Those who stand before others, first: guarantees, higher ranks, and [first]. */
    private fun blocks(jobs: List<Job>, first: (Job) -> Boolean = { false }): List<List<Job>> = jobs.groupBy {
        Triple(it.guaranteed, floors.rank(it), first(it))
    }.toList().sortedWith(BY_STANDING).map { it.second }

    private fun worse(job: Job, p: Feasibility) {
        if (p > prospect(job)) prospects[job] = p
    }

    private fun limitOf(team: Team) = Resources(team.cpusMax, team.gpusMax, 0)

    private fun capacity(): Resources = fleet.machines.filter { !it.returning }.fold(Resources.NONE) { sum, m ->
        sum +
            (m.type?.capacity ?: Resources.NONE)
    }

    private fun demandOf(job: Job): Resources = job.spec.need * job.waiting.size

    private fun waiting(jobs: List<Job>): Resources = jobs.fold(Resources.NONE) { sum, j ->
        sum +
            j.spec.need * j.waiting.size
    }

    private fun countImages() {
        holders = HashMap()
        fleetSize = 0
        for (m in fleet.machines) {
            if (m.returning) continue
            fleetSize++
            m.images.keys.forEach { holders.merge(it, 1, Int::plus) }
        }
    }

    /**
     * How long one task of [job] should hold its place: its run, the fetch of its image as far as machines lack it, and
     * the time until its worker has reported the end.
     */
    private fun holdsS(job: Job): Double {
        val fetch = fleet.catalog?.types?.minOfOrNull { it.fetchS(job.spec.imageGb) } ?: 0.0
        val lacking = if (fleetSize == 0) 1.0 else 1.0 - (holders[job.image.value] ?: 0).toDouble() / fleetSize
        return maxOf(job.spec.estimateS, LEAST_S) + fetch * lacking + ctx.settings.workers.reportS / 2
    }

    private companion object {
        val BY_STANDING = compareByDescending<Pair<Triple<Boolean, Int, Boolean>, List<Job>>> { it.first.first }
            .thenByDescending { it.first.second }.thenByDescending { it.first.third }

        const val EVERY_S = 1.0

        /** Estimates may be nothing at all. */
        const val LEAST_S = 1.0
    }
}
