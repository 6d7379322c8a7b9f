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
 * What machines are needed for: the [pending] jobs, of each of which [waitingTasks] gives the tasks without a place,
 * and the demand that is [forecast], beside [running] machines and [arriving] ones (one group for each). [endangered]:
 * replicas to be replaced beside the waiting tasks, though nothing proves them gone yet.
 */
class ScaleOutDemand(
    val running: List<Machine>,
    val arriving: List<GroupKey>,
    val pending: List<Job>,
    val waitingTasks: (Job) -> Int,
    val forecast: DemandForecast = DemandForecast.NONE,
    val endangered: Map<Job, Set<Placement>> = emptyMap(),
)

/**
 * How many machines the waiting tasks need beyond what is still to arrive (the paper's step 7). Waiting tasks are
 * packed into the free room and the arriving machines first; whatever is left opens new ones, each of the group where a
 * task comes cheapest.
 */
class Estimator(private val ctx: Context, private val schedulerState: SchedulerState, private val catalog: Catalog) {
    private val churn = TaskChurn(ctx, catalog)
    private val chooser = GroupChooser(catalog)

    /** The machines to request, by group. [leftover]: what may be requested for best-effort jobs. */
    fun estimate(
        demand: ScaleOutDemand,
        groups: ExpandableGroups,
        leftover: LeftoverCapacityScaling = LeftoverCapacityScaling.NONE,
    ): Map<GroupKey, Int> {
        val packing = Packing(demand, groups, leftover)
        val (bestEffort, expected) = demand.pending.partition { it.bestEffort }
        expected.forEach(packing::pack)
        packing.addForecast()
        // Last, so that best-effort jobs don't take the room that is kept for what is still to come.
        bestEffort.forEach(packing::pack)
        return packing.needed
    }

    /** One estimate: bins for all machines there are, and for those that turn out to be needed. */
    private inner class Packing(
        private val demand: ScaleOutDemand,
        private val groups: ExpandableGroups,
        private val leftover: LeftoverCapacityScaling,
    ) {
        val needed = LinkedHashMap<GroupKey, Int>()
        private val bins = ArrayList<CapacityBin>()
        private val plannedByTeam = HashMap<Int, Resources>()
        private val neededByZone = HashMap<String, Int>()
        private var tasksConsidered = 0

        init {
            for (group in demand.arriving) catalog[group.type]?.let { bins.add(CapacityBin(group, it.capacity)) }
            for (machine in demand.running) machine.group?.let { bins.add(VacatingBin(ctx, machine, it)) }
        }

        /** Packs the waiting tasks of [job], and those that replace endangered ones. */
        fun pack(job: Job) {
            val endangered = demand.endangered[job].orEmpty()
            // They still count as used, in the quota too; their replacements take their place, not another.
            if (endangered.isNotEmpty()) plan(job, Resources.NONE - job.spec.need * endangered.size)
            val zones = ZoneConstraint(job, endangered)
            val onlyZone = gatheringZone(job)
            var waiting = churn.slots(job, demand.waitingTasks(job)) + endangered.size
            // All tasks of a job ask for the same: a bin that had no room for one has none for the next.
            var index = 0
            while (waiting-- > 0 && tasksConsidered++ < MAX_TASKS) {
                if (!isWithinQuota(job)) break
                while (index < bins.size && !fits(job, bins[index], zones, onlyZone)) index++
                if (index == bins.size) addBin(chooseGroup(job, waiting + 1, zones, onlyZone) ?: break)
                val bin = bins[index]
                bin.free -= job.spec.need
                zones.addPlanned(bin.group.zone)
                plan(job, job.spec.need)
            }
        }

        /** The zone in which a gang gathers room, if that can be expanded. */
        private fun gatheringZone(job: Job): String? = job.gatherZone?.takeIf { zone ->
            catalog.types.any { groups.mayExpand(GroupKey(it.name, zone, false)) }
        }

        private fun plan(job: Job, need: Resources) {
            plannedByTeam.merge(job.team.value, need, Resources::plus)
        }

        private fun isWithinQuota(job: Job): Boolean {
            val planned = plannedByTeam[job.team.value] ?: Resources.NONE
            val sum = schedulerState.used(job.team) + planned + job.spec.need
            return ctx.settings.teams[job.team.value].allows(sum)
        }

        private fun fits(job: Job, bin: CapacityBin, zones: ZoneConstraint, onlyZone: String?): Boolean =
            (onlyZone == null || bin.group.zone == onlyZone) &&
                Placer.allowed(job.spec, bin.group) &&
                zones.allows(bin.group.zone) &&
                job.spec.need.fitsIn(bin.freeFor(job)) &&
                leftover.mayFill(job, bin.group)

        private fun addBin(group: GroupKey) {
            bins.add(CapacityBin(group, catalog[group.type]?.capacity ?: Resources.NONE))
            needed.merge(group, 1, Int::plus)
            neededByZone.merge(group.zone, 1, Int::plus)
        }

        private fun chooseGroup(job: Job, waiting: Int, zones: ZoneConstraint, onlyZone: String?): GroupKey? {
            fun cheapestOf(mayExpand: (GroupKey) -> Boolean): GroupKey? =
                chooser.cheapestFor(job, waiting, zones, onlyZone, ::machinesIn, mayExpand)
            if (job.bestEffort) {
                return leftover.take { cheapestOf { groups.mayExpand(it) && leftover.mayRequest(job, it) } }
            }
            val group = cheapestOf(groups.mayExpand) ?: cheapestOf(groups.mayExpandDelayed)
            if (group != null || job.spec.shape != Shape.SERVICE) return group
            return cheapestOf(groups.mayExpandForService)
        }

        private fun machinesIn(zone: String): Int = groups.machinesIn(zone) + (neededByZone[zone] ?: 0)

        /**
         * Adds machines for demand that is still to come, beside what is free and arriving: spot ones for the part that
         * may use them, as far as they are to be had.
         */
        fun addForecast() {
            val missingSpot = demand.forecast.spot - free(spot = true)
            val onSpot = chooser.cheapestFor(missingSpot, true, groups)
            val missing = demand.forecast.other - free(spot = false) +
                if (onSpot == null) missingSpot.atLeastNothing() else Resources.NONE
            val ordinary = chooser.cheapestFor(missing, false, groups)
            listOfNotNull(onSpot, ordinary).forEach { needed.merge(it.group, it.count, Int::plus) }
        }

        private fun free(spot: Boolean): Resources = bins.filter { it.group.spot == spot }
            .fold(Resources.NONE) { sum, bin -> sum + bin.freeNow.atLeastNothing() }
    }

    private companion object {
        /** In one estimate. */
        const val MAX_TASKS = 5000
    }
}
