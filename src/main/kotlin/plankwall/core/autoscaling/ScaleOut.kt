package plankwall.core.autoscaling

import plankwall.core.failuredetector.FailureDetector
import plankwall.core.placement.Placer
import plankwall.core.state.BootingMachine
import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.Resources

/**
 * Steps 5 to 7 of the paper's loop: the pending tasks, the groups that may be expanded for them, and how many machines
 * are needed beyond those that are to arrive.
 */
internal class ScaleOut(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val placer: Placer,
    private val failureDetector: FailureDetector,
    private val registry: ClusterStateRegistry,
    private val bootDelays: BootDelayDetector,
    private val requests: ScaleOutRequests,
) {
    /** When a job with a service-level objective last found no place at once. */
    private var contestedAt = Machine.NEVER

    /**
     * Requests the machines that pending tasks need beside [running] ones and those to arrive, and those that
     * [forecast] calls for. Only jobs that [serves] holds for count.
     */
    fun expand(catalog: Catalog, running: List<Machine>, forecast: DemandForecast, serves: (Job) -> Boolean) {
        val arriving = arrivingGroups()
        val endangered = failureDetector.endangered()
        val pending = pendingJobs(endangered.keys, serves)
        val leftover = leftoverCapacity(catalog, running, arriving.size)
        val perZone = fleet.machines.filter { !it.returning }.groupingBy { it.group?.zone }.eachCount()
        val demand = ScaleOutDemand(running, arriving, pending, placer::unreserved, forecast, endangered)
        val groups = ExpandableGroups(::mayExpand, ::mayExpandDelayed, ::mayExpandForService) { perZone[it] ?: 0 }
        val needed = Estimator(ctx, schedulerState, catalog).estimate(demand, groups, leftover)
        needed.forEach { (group, count) -> requests.add(group, count, pending.size) }
    }

    /** Step 5: the jobs with tasks that found no room, those with replicas on machines presumed lost among them. */
    private fun pendingJobs(endangered: Set<Job>, serves: (Job) -> Boolean): List<Job> =
        (endangered + placer.unplaced.filter { placer.unreserved(it) > 0 && !it.suspect }).filter(serves)

    /** UC1, UC2 and S3: the groups of the machines that are yet to come, one entry for each machine. */
    private fun arrivingGroups(): List<GroupKey> =
        fleet.arrivals.values.filter { mayBeCountedOn(it) }.map { it.group } +
            requests.stored.flatMap { request -> List(request.count) { request.group } }

    private fun mayBeCountedOn(booting: BootingMachine): Boolean =
        fleet.catalog?.get(booting.group.type) != null && !registry.isLate(booting) && bootDelays.isCounted(booting)

    /** Step 6: whether [group] may be expanded (S2), for any work. */
    fun mayExpand(group: GroupKey): Boolean = mayExpandDelayed(group) && group !in bootDelays.delayedGroups

    /** A group whose machines boot late is expanded only if there is no other. */
    private fun mayExpandDelayed(group: GroupKey): Boolean = isOpen(group) && registry.group(group).healthy

    /** For a live service a group with unready machines is good enough, if new ones come up there. */
    private fun mayExpandForService(group: GroupKey): Boolean = isOpen(group) && !registry.group(group).startsFail

    private fun isOpen(group: GroupKey): Boolean =
        requests.mayRequest(group) && group.zone !in registry.partitionedZones

    /** Whether the cloud refused, or filled in part only, what was last asked of every group that [job] may use. */
    fun isScarce(job: Job): Boolean {
        val groups = fleet.catalog?.fitting(job.spec).orEmpty()
            .flatMap { type ->
                type.zones.flatMap { listOf(GroupKey(type.name, it, true), GroupKey(type.name, it, false)) }
            }
            .filter { Placer.allowed(job.spec, it) }
        return groups.isNotEmpty() && groups.all { requests.wasShortOf(it) }
    }

    /** What may be requested for best-effort jobs in this iteration. */
    private fun leftoverCapacity(catalog: Catalog, running: List<Machine>, arriving: Int): LeftoverCapacityScaling {
        val bootS = catalog.types.maxOfOrNull { it.bootS } ?: 0.0
        markOverlooked(bootS)
        val taken = running.sumOf { bestEffortPart(it) }
        if (placer.unplaced.any { !it.bestEffort && !it.suspect }) contestedAt = ctx.now
        val contested = ctx.now < contestedAt + bootS
        val left = LeftoverCapacityScaling.leftAt(running.size, arriving, taken, contested)
        // Where the cloud had none lately, what comes free there is left to jobs with service-level objectives.
        return LeftoverCapacityScaling(left) { requests.mayRequestSince(it, bootS * SHORT_GROUP_LEFT_ALONE_BOOTS) }
    }

    private fun markOverlooked(bootS: Double) {
        for (job in placer.unplaced) {
            if (!job.bestEffort || job.starving) continue
            if (ctx.time.wallMs - job.readyMs > bootS * 1000 * OVERLOOKED_BOOTS) job.starving = true
        }
    }

    /** The part of [machine] that best-effort tasks take. */
    private fun bestEffortPart(machine: Machine): Double {
        val type = machine.type ?: return 0.0
        return machine.placements.values.filter { it.job.bestEffort }
            .fold(Resources.NONE) { sum, placement -> sum + placement.job.spec.need }
            .partOf(type.capacity)
    }

    private companion object {
        /** In boots of the slowest machine type. */
        const val OVERLOOKED_BOOTS = 2.0

        /** In boots of the slowest machine type. */
        const val SHORT_GROUP_LEFT_ALONE_BOOTS = 3.0
    }
}
