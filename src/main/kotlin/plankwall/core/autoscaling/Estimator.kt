package plankwall.core.autoscaling

import plankwall.core.placement.Placer
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.state.SchedulerState
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * The demand that a scale-out has to meet, and the machines that already serve it.
 *
 * @param running the running machines that may get tasks
 * @param arriving the groups of the machines that are expected soon, one entry for each machine
 * @param pending the jobs with tasks that wait, or with endangered replicas, in the order in which they are served
 * @param countWaitingTasks returns how many tasks of a job have no slot on a machine
 * @param forecast the demand that is expected beyond the pending jobs
 * @param endangered replicas on machines presumed lost, by job. Replacements for them are needed beside the waiting
 * tasks, though nothing proves yet that they are gone.
 */
class ScaleOutDemand(
    val running: List<Machine>,
    val arriving: List<GroupKey>,
    val pending: List<Job>,
    val countWaitingTasks: (Job) -> Int,
    val forecast: DemandForecast = DemandForecast.NONE,
    val endangered: Map<Job, Set<Placement>> = emptyMap(),
)

/**
 * Estimates how many machines the waiting tasks need beyond those that are about to arrive (the paper's step 7).
 * Waiting tasks are packed into arriving machines and the free capacity of running ones first. For the tasks that are
 * left, new machines are added, each of the group in which the price per task is lowest.
 */
class Estimator(private val ctx: Context, private val schedulerState: SchedulerState, private val catalog: Catalog) {
    private val taskChurn = TaskChurn(ctx, catalog)
    private val groupChooser = GroupChooser(catalog)

    /** Returns the number of machines to request, by group. [leftover] limits the requests for best-effort jobs. */
    fun estimate(
        demand: ScaleOutDemand,
        groups: ExpandableGroups,
        leftover: LeftoverCapacityScaling = LeftoverCapacityScaling.NONE,
    ): Map<GroupKey, Int> {
        val packing = Packing(demand, groups, leftover)
        val (bestEffortJobs, otherJobs) = demand.pending.partition { it.bestEffort }
        otherJobs.forEach(packing::pack)
        packing.addForecast()
        // Best-effort jobs come last, so that they do not take the capacity that is kept for expected demand.
        bestEffortJobs.forEach(packing::pack)
        return packing.machinesToRequest
    }

    /** The state of one estimate: bins for all running and arriving machines, and for those that it adds. */
    private inner class Packing(
        private val demand: ScaleOutDemand,
        private val groups: ExpandableGroups,
        private val leftover: LeftoverCapacityScaling,
    ) {
        /** The result so far: the number of machines to request, by group. */
        val machinesToRequest = LinkedHashMap<GroupKey, Int>()
        private val bins = ArrayList<CapacityBin>()

        /** Resources that this estimate plans for each team, beyond what the team uses already. */
        private val plannedByTeam = HashMap<Int, Resources>()
        private val machinesToRequestByZone = HashMap<String, Int>()
        private var tasksConsidered = 0

        init {
            for (group in demand.arriving) catalog[group.type]?.let { bins.add(CapacityBin(group, it.capacity)) }
            for (machine in demand.running) machine.group?.let { bins.add(VacatingBin(ctx, machine, it)) }
        }

        /** Packs the waiting tasks of [job], and the replacements of its endangered replicas. */
        fun pack(job: Job) {
            val endangered = demand.endangered[job].orEmpty()
            // Endangered replicas still count as used, in the quota too. Each replacement takes over the share of the
            // quota of the replica that it replaces.
            if (endangered.isNotEmpty()) addPlannedUse(job, Resources.NONE - job.spec.need * endangered.size)
            val zones = ZoneConstraint(job, endangered)
            val requiredZone = gatheringZone(job)
            var remainingTasks = taskChurn.countSlots(job, demand.countWaitingTasks(job)) + endangered.size
            // All tasks of a job need the same resources: a bin that was too small for one is too small for the next.
            var index = 0
            while (remainingTasks-- > 0 && tasksConsidered++ < MAX_TASKS_CONSIDERED) {
                if (!isWithinQuota(job)) break
                while (index < bins.size && !fits(job, bins[index], zones, requiredZone)) index++
                if (index == bins.size) addBin(chooseGroup(job, remainingTasks + 1, zones, requiredZone) ?: break)
                val bin = bins[index]
                bin.add(job)
                zones.addPlanned(bin.group.zone)
                addPlannedUse(job, job.spec.need)
            }
        }

        /**
         * The zone in which capacity is gathered for the gang [job]; null if there is none or it cannot be expanded.
         */
        private fun gatheringZone(job: Job): String? = job.heldZone?.takeIf { zone ->
            catalog.types.any { groups.mayExpand(GroupKey(it.name, zone, false)) }
        }

        private fun addPlannedUse(job: Job, need: Resources) {
            plannedByTeam.merge(job.team.value, need, Resources::plus)
        }

        private fun isWithinQuota(job: Job): Boolean {
            val planned = plannedByTeam[job.team.value] ?: Resources.NONE
            val usedAndPlanned = schedulerState.usedBy(job.team) + planned + job.spec.need
            return ctx.settings.teams[job.team.value].allows(usedAndPlanned)
        }

        private fun fits(job: Job, bin: CapacityBin, zones: ZoneConstraint, requiredZone: String?): Boolean =
            (requiredZone == null || bin.group.zone == requiredZone) &&
                Placer.isAllowed(job.spec, bin.group) &&
                zones.allows(bin.group.zone) &&
                bin.fits(job) &&
                leftover.mayFill(job, bin.group)

        private fun addBin(group: GroupKey) {
            bins.add(CapacityBin(group, catalog[group.type]?.capacity ?: Resources.NONE))
            machinesToRequest.merge(group, 1, Int::plus)
            machinesToRequestByZone.merge(group.zone, 1, Int::plus)
        }

        /**
         * The cheapest group for one more machine, or null if no group may be expanded for [job]. [remainingTasks]
         * counts the tasks that still need a machine.
         */
        private fun chooseGroup(
            job: Job,
            remainingTasks: Int,
            zones: ZoneConstraint,
            requiredZone: String?,
        ): GroupKey? {
            fun findCheapest(mayExpand: (GroupKey) -> Boolean): GroupKey? =
                groupChooser.findCheapestGroup(job, remainingTasks, zones, requiredZone, ::countMachinesIn, mayExpand)
            if (job.bestEffort) {
                return leftover.takeMachine { findCheapest { groups.mayExpand(it) && leftover.mayRequest(job, it) } }
            }
            val group = findCheapest(groups.mayExpand) ?: findCheapest(groups.mayExpandDelayed)
            if (group != null || job.spec.shape != Shape.SERVICE) return group
            return findCheapest(groups.mayExpandForService)
        }

        private fun countMachinesIn(zone: String): Int =
            groups.countMachinesIn(zone) + (machinesToRequestByZone[zone] ?: 0)

        /**
         * Adds machines for the part of the forecast demand that free and arriving capacity does not cover: spot
         * machines for the demand that may use them, or ordinary ones if no spot group may be expanded.
         */
        fun addForecast() {
            val missingSpot = demand.forecast.spot - freeCapacity(spot = true)
            val spotExpansion = groupChooser.findCheapestExpansion(missingSpot, true, groups)
            val missingOrdinary = demand.forecast.other - freeCapacity(spot = false) +
                if (spotExpansion == null) missingSpot.coerceAtLeastZero() else Resources.NONE
            val ordinaryExpansion = groupChooser.findCheapestExpansion(missingOrdinary, false, groups)
            listOfNotNull(spotExpansion, ordinaryExpansion).forEach {
                machinesToRequest.merge(it.group, it.count, Int::plus)
            }
        }

        private fun freeCapacity(spot: Boolean): Resources = bins.filter { it.group.spot == spot }
            .fold(Resources.NONE) { sum, bin -> sum + bin.freeNow.coerceAtLeastZero() }
    }

    private companion object {
        /** The maximum number of tasks that one estimate considers. */
        const val MAX_TASKS_CONSIDERED = 5000
    }
}
