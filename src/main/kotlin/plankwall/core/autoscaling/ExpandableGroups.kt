package plankwall.core.autoscaling

import plankwall.core.placement.Placer
import plankwall.core.state.Job
import plankwall.core.state.ZoneConstraint
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.MachineType
import plankwall.model.Resources

/**
 * Which groups may be expanded (the paper's step 6): [mayExpand] for any work; [mayExpandDelayed] if no such group
 * would do; [mayExpandForService] for a live service if neither would do. [machinesIn] counts the machines in a zone.
 */
class ExpandableGroups(
    val mayExpand: (GroupKey) -> Boolean,
    val mayExpandDelayed: (GroupKey) -> Boolean = mayExpand,
    val mayExpandForService: (GroupKey) -> Boolean = mayExpand,
    val machinesIn: (zone: String) -> Int,
)

/** So many machines of one group. */
internal class GroupExpansion(val group: GroupKey, val count: Int)

/** Chooses the cheapest groups of [catalog]. */
internal class GroupChooser(private val catalog: Catalog) {
    /**
     * The group on which a task of [job] comes cheapest, [waiting] of them at hand: within [zones], in [onlyZone] if
     * that is set, and where [mayExpand]. Among equals the zone with the fewest machines, as [machinesIn] counts them:
     * zones fail as a whole.
     */
    fun cheapestFor(
        job: Job,
        waiting: Int,
        zones: ZoneConstraint,
        onlyZone: String?,
        machinesIn: (String) -> Int,
        mayExpand: (GroupKey) -> Boolean,
    ): GroupKey? {
        var best: GroupKey? = null
        var lowest = Double.MAX_VALUE
        for (type in catalog.types) {
            val useful = usefulTasks(type, job, waiting)
            if (useful == 0.0) continue
            for (group in groupsOf(type)) {
                if (onlyZone != null && group.zone != onlyZone) continue
                if (!Placer.allowed(job.spec, group) || !zones.allows(group.zone) || !mayExpand(group)) continue
                val price = (if (group.spot) type.spotPrice else type.price) / useful
                val cost = price * (1.0 + ZONE_BALANCE_PER_MACHINE * machinesIn(group.zone))
                if (cost < lowest) {
                    lowest = cost
                    best = group
                }
            }
        }
        return best
    }

    /** How many tasks a machine of [type] is worth. Room beyond the [waiting] is worth something to later ones. */
    private fun usefulTasks(type: MachineType, job: Job, waiting: Int): Double {
        val holds = type.capacity.holds(job.spec.need)
        val used = minOf(holds, waiting)
        return used + LATER_TASK_VALUE * (holds - used)
    }

    /** Zone by zone, spot before ordinary; spot only where it is offered. */
    private fun groupsOf(type: MachineType): List<GroupKey> = type.zones.flatMap { zone ->
        listOf(true, false).filter { spot -> !spot || type.spotPrice > 0.0 }.map { GroupKey(type.name, zone, it) }
    }

    /** The group whose machines, spot or not, give [missing] most cheaply. */
    fun cheapestFor(missing: Resources, spot: Boolean, groups: ExpandableGroups): GroupExpansion? {
        var best: GroupExpansion? = null
        var lowest = Double.MAX_VALUE
        for (type in catalog.types) {
            val price = if (spot) type.spotPrice else type.price
            val count = Math.round(missing.partOf(type.capacity)).toInt()
            if (count == 0 || price <= 0.0) continue
            val zone = type.zones.filter { groups.mayExpand(GroupKey(type.name, it, spot)) }
                .minByOrNull { groups.machinesIn(it) } ?: continue
            if (count * price < lowest) {
                lowest = count * price
                best = GroupExpansion(GroupKey(type.name, zone, spot), count)
            }
        }
        return best
    }

    private companion object {
        const val LATER_TASK_VALUE = 0.5

        /** What each machine in a zone adds to its price, as a part. */
        const val ZONE_BALANCE_PER_MACHINE = 0.002
    }
}
