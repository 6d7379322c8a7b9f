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
 * Steps 5 to 7 of the paper's loop: finds the pending tasks and the groups that may be expanded for them, and requests
 * the machines that are needed beyond those that are about to arrive.
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
    /**
     * The time at which a job that is not best-effort last had tasks without a slot, in seconds of the monotonic clock.
     */
    private var contestedAt = Machine.NEVER

    /**
     * Requests the machines that pending tasks and the [forecast] demand need beyond the [running] and the arriving
     * ones. Only pending jobs for which [isServed] returns true count.
     */
    fun expand(catalog: Catalog, running: List<Machine>, forecast: DemandForecast, isServed: (Job) -> Boolean) {
        val arriving = arrivingGroups()
        val endangered = failureDetector.findEndangeredReplicas()
        val pending = pendingJobs(endangered.keys, isServed)
        val leftover = leftoverCapacity(catalog, running, arriving.size)
        val machinesByZone = fleet.machines.filter { !it.isBeingScaledIn }.groupingBy { it.group?.zone }.eachCount()
        val demand = ScaleOutDemand(running, arriving, pending, placer::countUnreservedTasks, forecast, endangered)
        val groups =
            ExpandableGroups(::mayExpand, ::mayExpandDelayed, ::mayExpandForService) { machinesByZone[it] ?: 0 }
        val machinesToRequest = Estimator(ctx, schedulerState, catalog).estimate(demand, groups, leftover)
        machinesToRequest.forEach { (group, count) -> requests.add(group, count, pending.size) }
    }

    /**
     * Step 5: the jobs with replicas on machines presumed lost, then the other jobs with tasks that found no capacity.
     */
    private fun pendingJobs(endangered: Set<Job>, isServed: (Job) -> Boolean): List<Job> =
        (endangered + placer.unplacedJobs.filter { placer.countUnreservedTasks(it) > 0 && !it.isSuspected })
            .filter(isServed)

    /** UC1, UC2 and S3: the groups of the machines that are expected to arrive, one entry for each machine. */
    private fun arrivingGroups(): List<GroupKey> =
        fleet.bootingMachines.values.filter { mayBeCountedOn(it) }.map { it.group } +
            requests.unanswered.flatMap { request -> List(request.count) { request.group } }

    /** Whether [booting] is likely to register soon, so that no other machine is requested in its place. */
    private fun mayBeCountedOn(booting: BootingMachine): Boolean =
        fleet.catalog?.get(booting.group.type) != null && !registry.isLate(booting) && bootDelays.isCounted(booting)

    /** Step 6: whether [group] may be expanded for any work (S2). Also called by placement, for gangs. */
    fun mayExpand(group: GroupKey): Boolean = mayExpandDelayed(group) && group !in bootDelays.delayedGroups

    /**
     * Whether [group] may be expanded if no other group fits: its machines may boot late, but it is healthy otherwise.
     */
    private fun mayExpandDelayed(group: GroupKey): Boolean = isAvailable(group) && registry.groupHealth(group).healthy

    /**
     * Whether [group] may be expanded for a live service: it may have unready machines, but its new machines do
     * register.
     */
    private fun mayExpandForService(group: GroupKey): Boolean =
        isAvailable(group) && !registry.groupHealth(group).startsAreFailing

    /** Whether [group] is in no partitioned zone and the cloud did not report a shortage of it a short time ago. */
    private fun isAvailable(group: GroupKey): Boolean =
        requests.mayRequest(group) && group.zone !in registry.partitionedZones

    /**
     * Whether the cloud recently granted fewer machines than requested in every group that [job] may use. Called by the
     * pending queue.
     */
    fun isScarce(job: Job): Boolean {
        val groups = fleet.catalog?.fitting(job.spec).orEmpty()
            .flatMap { type ->
                type.zones.flatMap { listOf(GroupKey(type.name, it, true), GroupKey(type.name, it, false)) }
            }
            .filter { Placer.isAllowed(job.spec, it) }
        return groups.isNotEmpty() && groups.all { requests.wasShortOf(it) }
    }

    /** Computes which and how many machines may be requested for best-effort jobs in this iteration. */
    private fun leftoverCapacity(catalog: Catalog, running: List<Machine>, arriving: Int): LeftoverCapacityScaling {
        val bootS = catalog.types.maxOfOrNull { it.bootS } ?: 0.0
        markStarving(bootS)
        val usedByBestEffort = running.sumOf { bestEffortShare(it) }
        if (placer.unplacedJobs.any { !it.bestEffort && !it.isSuspected }) contestedAt = ctx.now
        val isContested = ctx.now < contestedAt + bootS
        val machinesLeft = LeftoverCapacityScaling.computeMachineLimit(
            running.size,
            arriving,
            usedByBestEffort,
            isContested,
        )
        // After a shortage the machines that the cloud gets back in a group are left to jobs that are not best-effort.
        return LeftoverCapacityScaling(machinesLeft) {
            requests.hasBeenRequestableFor(it, bootS * SHORTAGE_PAUSE_BOOTS)
        }
    }

    /** Marks best-effort jobs that have waited for long as starving. [bootS]: the boot time of the slowest type. */
    private fun markStarving(bootS: Double) {
        for (job in placer.unplacedJobs) {
            if (!job.bestEffort || job.starving) continue
            if (ctx.time.wallMs - job.readyMs > bootS * 1000 * STARVING_AFTER_BOOTS) job.starving = true
        }
    }

    /** The part of [machine], from 0 to 1, that best-effort tasks use. */
    private fun bestEffortShare(machine: Machine): Double {
        val type = machine.type ?: return 0.0
        return machine.placements.values.filter { it.job.bestEffort }
            .fold(Resources.NONE) { sum, placement -> sum + placement.job.spec.need }
            .dominantShareOf(type.capacity)
    }

    private companion object {
        /**
         * The time that a best-effort job waits before it counts as starving, in boot times of the slowest machine
         * type.
         */
        const val STARVING_AFTER_BOOTS = 2.0

        /**
         * The time after a shortage during which a group is not expanded for best-effort jobs, in boot times of the
         * slowest machine type.
         */
        const val SHORTAGE_PAUSE_BOOTS = 3.0
    }
}
