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
 * The order in which waiting jobs are served. With room for all it is the order of priority and age. Where a team's
 * quota or the cloud's capacity leaves less room than there is work, jobs that can still meet their service-level
 * objectives go before those that can't any more: served strictly by age, a queue of two minutes makes every job that
 * it serves late.
 */
class PendingQueue(private val ctx: Context, private val schedulerState: SchedulerState, private val fleet: Fleet) {
    private val feasibilities = HashMap<Job, Feasibility>()
    private val minimumShare = MinimumShare(ctx)
    private val overdueShares = HashMap<String, OverdueShare>()
    private val bindingLimit = BindingLimit(ctx)
    private val occupancy = TaskOccupancy(ctx, fleet)
    private var classifiedAt = Machine.NEVER

    /** The room of the whole fleet, while there is less room than work. */
    private var fleetPool: CapacityPool? = null

    /** By class, the oldest job that is out of reach. */
    private var overdue: Map<String, Job> = emptyMap()

    /** Whether the cloud has no machine now that a job may use; set by the autoscaler. */
    var isScarce: (Job) -> Boolean = { false }

    /** What stands before other jobs in the order of service: a guarantee, a higher rank, then [isPreferred]. */
    private data class Standing(val isGuaranteed: Boolean, val rank: Int, val isPreferred: Boolean)

    /**
     * Whether the quota of its team keeps [job] waiting, however many machines there are. Live services go first within
     * a quota, so they are not held.
     */
    fun isHeldByQuota(job: Job): Boolean = job.team.value in bindingLimit.teams && job.spec.shape != Shape.SERVICE

    /** What [job] can still meet of its service-level objectives, as of the last classification. */
    fun feasibility(job: Job): Feasibility = feasibilities[job] ?: Feasibility.IN_TIME

    /** Whether its class's minimum share protects [job] from preemption, but for live services and guarantees. */
    fun isProtected(job: Job): Boolean = minimumShare.isProtected(job)

    /** How many tasks of [job] may be placed in this pass. */
    fun maxPlacements(job: Job): Int =
        if (job.spec.shape == Shape.SERVICE) Int.MAX_VALUE else minimumShare.maxPlacements(job)

    /** [pending] in the order in which they are to be served. */
    fun sort(pending: List<Job>): List<Job> {
        if (ctx.now >= classifiedAt + CLASSIFY_S) classify(pending)
        val due = overdue.filterKeys { overdueShares[it]?.isDue == true }.values.toSet()
        return pending.sortedWith(
            compareByDescending<Job> { it.guaranteed }
                .thenByDescending { minimumShare.rank(it) }
                .thenBy { it.bestEffort }
                .thenByDescending { it in due }
                .thenByDescending { feasibility(it) != Feasibility.OUT_OF_REACH && mustStartNow(it) }
                .thenBy { feasibility(it) }
                .thenBy { it.submittedMs },
        )
    }

    /** Whether a DAG stage must start by now, going by the deadline of the job that depends on it. */
    private fun mustStartNow(job: Job): Boolean =
        job.dueMs != Long.MAX_VALUE && job.dueMs - (job.spec.estimateS * 1000).toLong() <= ctx.time.wallMs

    /** Accounts for [tasks] of [job] that were placed. */
    fun onPlaced(job: Job, tasks: Int) {
        if (tasks == 0 || job.spec.shape == Shape.SERVICE) return
        val pool = fleetPool ?: return
        minimumShare.onPlaced(job, tasks)
        val jobClass = job.spec.jobClass
        val workS = pool.workS(job, tasks, occupancy.secondsOf(job))
        overdueShares.getOrPut(jobClass) { OverdueShare() }.onPlaced(feasibility(job), workS, jobClass in overdue)
    }

    /** Accounts for [tasks] of [job] that are being preempted. */
    fun onPreempted(job: Job, tasks: Int) = minimumShare.onPlaced(job, -tasks)

    private fun classify(pending: List<Job>) {
        classifiedAt = ctx.now
        feasibilities.clear()
        val (services, others) = pending.partition { it.spec.shape == Shape.SERVICE }
        occupancy.refresh()
        classifyByQuota(services, others)
        val scarce = others.filter { isScarce(it) }
        val capacity = fleetCapacity()
        val pool = if (scarce.isNotEmpty() || bindingLimit.teams.isNotEmpty()) poolOfFleet(capacity, services) else null
        minimumShare.refresh(
            schedulerState.live,
            scarce.isNotEmpty(),
            pool?.size ?: Resources.NONE,
            occupancy::secondsOf,
        )
        if (pool != null && scarce.isNotEmpty()) classifyByCapacity(others, capacity, pool)
        fleetPool = pool
        overdue = others.filter { feasibility(it) == Feasibility.OUT_OF_REACH }
            .groupBy { it.spec.jobClass }
            .mapValues { (_, jobs) -> jobs.minBy { it.submittedMs } }
        bindingLimit.logScarcity(scarce, feasibilities, minimumShare)
    }

    /** A team's quota is a pool of its own, whatever the cloud has. */
    private fun classifyByQuota(services: List<Job>, others: List<Job>) {
        bindingLimit.beginTeams()
        for ((index, jobs) in (services + others).groupBy { it.team.value }) {
            val team = ctx.settings.teams[index]
            val used = schedulerState.used(jobs.first().team)
            if (team.allows(used + waitingDemand(jobs))) continue
            bindingLimit.onQuotaReached(index, jobs, used)
            val (waitingServices, waiting) = jobs.partition { it.spec.shape == Shape.SERVICE }
            val placed = schedulerState.live.asSequence().filter { it.team.value == index }
                .flatMap { it.placements.values }
            val pool = CapacityPool(ctx, quotaOf(team), placed, waitingDemand(waitingServices))
            pool.classify(blocksOf(waiting), 1.0, null, occupancy::secondsOf, ::lower)
        }
        bindingLimit.endTeams()
    }

    /** Each class has its share of the fleet, and of it teams that ask for little go first. */
    private fun classifyByCapacity(waiting: List<Job>, capacity: Resources, pool: CapacityPool) {
        val modest = FairShare.modest(waiting, capacity, ::waitingDemand, schedulerState::used)
        val byClass = waiting.filter { feasibility(it) != Feasibility.OUT_OF_REACH }.groupBy { it.spec.jobClass }
        for ((jobClass, jobs) in byClass) {
            val blocks = blocksOf(jobs) { it.team.value in modest }
            pool.classify(blocks, minimumShare.shareOf(jobClass), jobClass, occupancy::secondsOf, ::lower)
        }
    }

    private fun poolOfFleet(capacity: Resources, waitingServices: List<Job>): CapacityPool {
        val placed = fleet.machines.asSequence().flatMap { it.placements.values }
        return CapacityPool(ctx, capacity, placed, waitingDemand(waitingServices))
    }

    /** [jobs] of the same standing together, the highest first. */
    private fun blocksOf(jobs: List<Job>, isPreferred: (Job) -> Boolean = { false }): List<List<Job>> =
        jobs.groupBy { Standing(it.guaranteed, minimumShare.rank(it), isPreferred(it)) }
            .toList()
            .sortedWith(compareBy(HIGHEST_FIRST) { (standing, _) -> standing })
            .map { (_, block) -> block }

    private fun lower(job: Job, feasibility: Feasibility) {
        if (feasibility > feasibility(job)) feasibilities[job] = feasibility
    }

    private fun quotaOf(team: Team) = Resources(team.cpusMax, team.gpusMax, 0)

    private fun fleetCapacity(): Resources = fleet.machines.filter { !it.returning }
        .fold(Resources.NONE) { sum, machine -> sum + (machine.type?.capacity ?: Resources.NONE) }

    private fun waitingDemand(job: Job): Resources = job.spec.need * job.waiting.size

    private fun waitingDemand(jobs: List<Job>): Resources =
        jobs.fold(Resources.NONE) { sum, job -> sum + waitingDemand(job) }

    private companion object {
        val HIGHEST_FIRST = compareByDescending<Standing> { it.isGuaranteed }
            .thenByDescending { it.rank }
            .thenByDescending { it.isPreferred }

        const val CLASSIFY_S = 1.0
    }
}
