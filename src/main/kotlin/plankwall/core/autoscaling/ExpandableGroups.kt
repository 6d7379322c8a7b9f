package plankwall.core.autoscaling

import plankwall.core.placement.Placer
import plankwall.core.state.Job
import plankwall.core.state.ZoneConstraint
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.MachineType
import plankwall.model.Resources
import plankwall.wire.HeartbeatSize

/**
 * The groups that may be expanded (the paper's step 6).
 *
 * @param mayExpand whether a group may be expanded for any work
 * @param mayExpandDelayed whether a group may be expanded if none that [mayExpand] allows fits
 * @param mayExpandForService whether a group may be expanded for a live service if none of the others fits
 * @param countMachinesIn returns the number of machines in a zone
 */
class ExpandableGroups(
    val mayExpand: (GroupKey) -> Boolean,
    val mayExpandDelayed: (GroupKey) -> Boolean = mayExpand,
    val mayExpandForService: (GroupKey) -> Boolean = mayExpand,
    val countMachinesIn: (zone: String) -> Int,
)

/** The request for [count] more machines of [group]. */
internal class GroupExpansion(val group: GroupKey, val count: Int)

/** Chooses the cheapest group of the machine types in [catalog] for a scale-out. */
internal class GroupChooser(private val catalog: Catalog) {
    /**
     * Returns the group with the lowest price per task of [job], of which [remainingTasks] need a machine. Only groups
     * are considered that [zones] and [mayExpand] allow, and that are in [requiredZone] unless it is null. Returns null
     * if there is none. Where prices are equal the zone with the fewest machines, by [countMachinesIn], is preferred,
     * because zones fail as a whole.
     */
    fun findCheapestGroup(
        job: Job,
        remainingTasks: Int,
        zones: ZoneConstraint,
        requiredZone: String?,
        countMachinesIn: (String) -> Int,
        mayExpand: (GroupKey) -> Boolean,
    ): GroupKey? {
        var best: GroupKey? = null
        var lowestCost = Double.MAX_VALUE
        for (type in catalog.types) {
            val usefulTasks = estimateUsefulTasks(type, job, remainingTasks)
            if (usefulTasks == 0.0) continue
            for (group in groupsOf(type)) {
                if (requiredZone != null && group.zone != requiredZone) continue
                if (!Placer.isAllowed(job.spec, group) || !zones.allows(group.zone) || !mayExpand(group)) continue
                val pricePerTask = (if (group.spot) type.spotPrice else type.price) / usefulTasks
                val cost = pricePerTask * (1.0 + ZONE_BALANCE_PER_MACHINE * countMachinesIn(group.zone))
                if (cost < lowestCost) {
                    lowestCost = cost
                    best = group
                }
            }
        }
        return best
    }

    /**
     * The number of tasks of [job] for which a machine of [type] is useful. Capacity beyond the [remainingTasks] counts
     * for less, since only later tasks may use it.
     */
    private fun estimateUsefulTasks(type: MachineType, job: Job, remainingTasks: Int): Double {
        val tasksInHeartbeat = HeartbeatSize.MAX_TASKS_BYTES / job.heartbeatBytesPerTask
        val fittingTasks = minOf(type.capacity.countFitting(job.spec.need), tasksInHeartbeat)
        val tasksAtOnce = minOf(fittingTasks, remainingTasks)
        return tasksAtOnce + LATER_TASK_VALUE * (fittingTasks - tasksAtOnce)
    }

    /** The groups of [type], by zone; in each zone the spot group, if it is offered, comes before the ordinary one. */
    private fun groupsOf(type: MachineType): List<GroupKey> = type.zones.flatMap { zone ->
        listOf(true, false).filter { spot -> !spot || type.spotPrice > 0.0 }.map { GroupKey(type.name, zone, it) }
    }

    /**
     * Returns the group, spot or not as [spot] says, whose machines provide the [missing] resources at the lowest
     * price, and how many of them are needed. Returns null if less than half a machine is missing or no group may be
     * expanded.
     */
    fun findCheapestExpansion(missing: Resources, spot: Boolean, groups: ExpandableGroups): GroupExpansion? {
        var best: GroupExpansion? = null
        var lowestCost = Double.MAX_VALUE
        for (type in catalog.types) {
            val price = if (spot) type.spotPrice else type.price
            val count = Math.round(missing.dominantShareOf(type.capacity)).toInt()
            if (count == 0 || price <= 0.0) continue
            val zone = type.zones.filter { groups.mayExpand(GroupKey(type.name, it, spot)) }
                .minByOrNull { groups.countMachinesIn(it) } ?: continue
            if (count * price < lowestCost) {
                lowestCost = count * price
                best = GroupExpansion(GroupKey(type.name, zone, spot), count)
            }
        }
        return best
    }

    private companion object {
        /** The value of capacity for a later task, relative to that for a task that waits now. */
        const val LATER_TASK_VALUE = 0.5

        /** The part of its price by which a group's cost rises with each machine in its zone. */
        const val ZONE_BALANCE_PER_MACHINE = 0.002
    }
}
