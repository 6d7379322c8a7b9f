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
 * The order in which waiting jobs are served. While there is enough capacity for all, they are served by priority and
 * age. Where a team's quota or the cloud leaves less capacity than there is work, jobs that can still meet their
 * service-level objectives go before those that can't: served strictly by age, a queue of two minutes makes every job
 * in it late.
 */
class PendingQueue(private val ctx: Context, private val schedulerState: SchedulerState, private val fleet: Fleet) {
    /** The jobs that were last classified as other than [Feasibility.IN_TIME]. */
    private val feasibilityByJob = HashMap<Job, Feasibility>()
    private val minimumShare = MinimumShare(ctx)
    private val overdueShareByClass = HashMap<String, OverdueShare>()
    private val bindingLimit = BindingLimit(ctx)
    private val occupancy = TaskOccupancy(ctx, fleet)

    /** The time at which the jobs were last classified, in seconds of the monotonic clock. */
    private var classifiedAt = Machine.NEVER

    /** The capacity of the whole fleet, while there is less capacity than work; otherwise null. */
    private var fleetPool: CapacityPool? = null

    /** By job class, the oldest waiting job that is out of reach. */
    private var oldestOverdueByClass: Map<String, Job> = emptyMap()

    /** Whether the cloud has no machine now that a job may use; set by the autoscaler. */
    var isScarce: (Job) -> Boolean = { false }

    /**
     * The criteria that order jobs regardless of their feasibility: a guarantee, then a higher rank, then
     * [isPreferred].
     */
    private data class Standing(val isGuaranteed: Boolean, val rank: Int, val isPreferred: Boolean)

    /**
     * Whether the quota of its team keeps [job] waiting, however many machines there are. Service jobs go first within
     * a quota, so they do not count as held.
     */
    fun isHeldByQuota(job: Job): Boolean =
        job.team.value in bindingLimit.limitedTeams && job.spec.shape != Shape.SERVICE

    /** Returns which of its service-level objectives [job] could still meet when the jobs were last classified. */
    fun feasibility(job: Job): Feasibility = feasibilityByJob[job] ?: Feasibility.IN_TIME

    /**
     * Whether the minimum share of its class protects [job] from preemption by jobs that are neither of production
     * priority nor guaranteed.
     */
    fun isProtected(job: Job): Boolean = minimumShare.isProtected(job)

    /** Returns how many tasks of [job] may be placed in this pass. */
    fun maxPlacements(job: Job): Int =
        if (job.spec.shape == Shape.SERVICE) Int.MAX_VALUE else minimumShare.maxPlacements(job)

    /**
     * Returns the [pending] jobs in the order in which they are to be served. Classifies them first if that was last
     * done more than [CLASSIFICATION_INTERVAL_S] ago.
     */
    fun sort(pending: List<Job>): List<Job> {
        if (ctx.now >= classifiedAt + CLASSIFICATION_INTERVAL_S) classify(pending)
        val overdueJobsDue = oldestOverdueByClass.filterKeys { overdueShareByClass[it]?.isDue == true }.values.toSet()
        return pending.sortedWith(
            compareByDescending<Job> { it.guaranteed }
                .thenByDescending { minimumShare.rank(it) }
                .thenBy { it.bestEffort }
                .thenByDescending { it in overdueJobsDue }
                .thenByDescending { feasibility(it) != Feasibility.OUT_OF_REACH && mustStartNow(it) }
                .thenBy { feasibility(it) }
                .thenBy { it.submittedMs },
        )
    }

    /**
     * Whether [job] has to start by now to meet its deadline, be it its own or one that follows from a job that depends
     * on it.
     */
    private fun mustStartNow(job: Job): Boolean =
        job.dueMs != Long.MAX_VALUE && job.dueMs - (job.spec.estimateS * 1000).toLong() <= ctx.time.wallMs

    /** Accounts for [tasks] tasks of [job] that were placed in this pass. */
    fun onPlaced(job: Job, tasks: Int) {
        if (tasks == 0 || job.spec.shape == Shape.SERVICE) return
        val pool = fleetPool ?: return
        minimumShare.onPlaced(job, tasks)
        val jobClass = job.spec.jobClass
        val workS = pool.workS(job, tasks, occupancy.secondsOf(job))
        overdueShareByClass.getOrPut(jobClass) { OverdueShare() }
            .onPlaced(feasibility(job), workS, jobClass in oldestOverdueByClass)
    }

    /** Accounts for [tasks] tasks of [job] that are being preempted. */
    fun onPreempted(job: Job, tasks: Int) = minimumShare.onPlaced(job, -tasks)

    /**
     * Classifies the [pending] jobs by which objectives they can still meet under the quotas and, where the cloud has
     * no more machines, within the fleet. Computes the minimum shares anew.
     */
    private fun classify(pending: List<Job>) {
        classifiedAt = ctx.now
        feasibilityByJob.clear()
        val (services, others) = pending.partition { it.spec.shape == Shape.SERVICE }
        occupancy.refresh()
        classifyByQuota(services, others)
        val scarce = others.filter { isScarce(it) }
        val capacity = fleetCapacity()
        val pool =
            if (scarce.isNotEmpty() || bindingLimit.limitedTeams.isNotEmpty()) poolOfFleet(capacity, services) else null
        minimumShare.refresh(
            schedulerState.liveJobs,
            scarce.isNotEmpty(),
            pool?.taskCapacity ?: Resources.NONE,
            occupancy::secondsOf,
        )
        if (pool != null && scarce.isNotEmpty()) classifyByCapacity(others, capacity, pool)
        fleetPool = pool
        oldestOverdueByClass = others.filter { feasibility(it) == Feasibility.OUT_OF_REACH }
            .groupBy { it.spec.jobClass }
            .mapValues { (_, jobs) -> jobs.minBy { it.submittedMs } }
        bindingLimit.logScarcity(scarce, feasibilityByJob, minimumShare)
    }

    /**
     * Classifies the jobs of each team that asks for more than its quota. The quota is a pool of its own, however many
     * machines the cloud has.
     */
    private fun classifyByQuota(services: List<Job>, others: List<Job>) {
        bindingLimit.beginQuotaChecks()
        for ((teamIndex, jobs) in (services + others).groupBy { it.team.value }) {
            val team = ctx.settings.teams[teamIndex]
            val used = schedulerState.usedBy(jobs.first().team)
            if (team.allows(used + waitingDemand(jobs))) continue
            bindingLimit.onQuotaReached(teamIndex, jobs, used)
            val (waitingServices, waiting) = jobs.partition { it.spec.shape == Shape.SERVICE }
            val placed = schedulerState.liveJobs.asSequence().filter { it.team.value == teamIndex }
                .flatMap { it.placements.values }
            val pool = CapacityPool(ctx, quotaOf(team), placed, waitingDemand(waitingServices))
            pool.classify(groupByStanding(waiting), 1.0, null, occupancy::secondsOf, ::lowerFeasibility)
        }
        bindingLimit.endQuotaChecks()
    }

    /**
     * Classifies the [waiting] jobs by the capacity of the fleet. Each class has its share of it, within which teams
     * that ask for no more than their fair share go first.
     */
    private fun classifyByCapacity(waiting: List<Job>, capacity: Resources, pool: CapacityPool) {
        val teamsWithinFairShare =
            FairShare.teamsWithinFairShare(waiting, capacity, ::waitingDemand, schedulerState::usedBy)
        val byClass = waiting.filter { feasibility(it) != Feasibility.OUT_OF_REACH }.groupBy { it.spec.jobClass }
        for ((jobClass, jobs) in byClass) {
            val blocks = groupByStanding(jobs) { it.team.value in teamsWithinFairShare }
            pool.classify(blocks, minimumShare.shareOf(jobClass), jobClass, occupancy::secondsOf, ::lowerFeasibility)
        }
    }

    /** Returns the whole fleet as a pool, with the replicas of [waitingServices] subtracted. */
    private fun poolOfFleet(capacity: Resources, waitingServices: List<Job>): CapacityPool {
        val placed = fleet.machines.asSequence().flatMap { it.placements.values }
        return CapacityPool(ctx, capacity, placed, waitingDemand(waitingServices))
    }

    /** Returns [jobs] in groups of the same standing, the highest standing first. */
    private fun groupByStanding(jobs: List<Job>, isPreferred: (Job) -> Boolean = { false }): List<List<Job>> =
        jobs.groupBy { Standing(it.guaranteed, minimumShare.rank(it), isPreferred(it)) }
            .toList()
            .sortedWith(compareBy(HIGHEST_STANDING_FIRST) { (standing, _) -> standing })
            .map { (_, block) -> block }

    /** Sets the feasibility of [job] unless it is as bad already. */
    private fun lowerFeasibility(job: Job, feasibility: Feasibility) {
        if (feasibility > feasibility(job)) feasibilityByJob[job] = feasibility
    }

    /** Returns the limits of [team]; 0 means no limit. */
    private fun quotaOf(team: Team) = Resources(team.cpusMax, team.gpusMax, 0)

    /** Returns the capacity of all machines that are not being scaled in. */
    private fun fleetCapacity(): Resources = fleet.machines.filter { !it.isBeingScaledIn }
        .fold(Resources.NONE) { sum, machine -> sum + (machine.type?.capacity ?: Resources.NONE) }

    /** Returns the resources that the waiting tasks of [job] need. */
    private fun waitingDemand(job: Job): Resources = job.spec.need * job.waiting.size

    private fun waitingDemand(jobs: List<Job>): Resources =
        jobs.fold(Resources.NONE) { sum, job -> sum + waitingDemand(job) }

    private companion object {
        val HIGHEST_STANDING_FIRST = compareByDescending<Standing> { it.isGuaranteed }
            .thenByDescending { it.rank }
            .thenByDescending { it.isPreferred }

        /**
         * The interval between classifications of the waiting jobs, which take longer than the sorting that each pass
         * does.
         */
        const val CLASSIFICATION_INTERVAL_S = 1.0
    }
}
