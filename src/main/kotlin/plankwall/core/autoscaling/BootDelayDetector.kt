package plankwall.core.autoscaling

import org.slf4j.LoggerFactory
import plankwall.core.state.BootingMachine
import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.GroupKey

/**
 * Finds delayed groups: those in which many new machines boot late or not at all. A single overdue machine is replaced
 * at once. But where a third of a group is overdue, each replacement would become overdue too, and machines for one
 * wave of demand would be requested again and again. So in a delayed group an overdue machine does not count as lost:
 * some of the overdue machines still count as capacity about to arrive, they are abandoned only after a longer time,
 * and other groups are expanded first.
 *
 * It needs no stored state of its own: the stored fleet record contains the time at which each machine was requested,
 * so a new leader finds the same groups at once.
 *
 * @param startedAt the time at which this leader took over, in seconds of the monotonic clock
 */
class BootDelayDetector(
    private val ctx: Context,
    private val bootDurations: BootDurations,
    private val startedAt: Double,
) {
    private val log = LoggerFactory.getLogger("autoscaler")

    /** The times at which machines of each group recently registered, in seconds of the monotonic clock. */
    private val bootTimesByGroup = HashMap<GroupKey, ArrayDeque<Double>>()

    /** The names of the overdue machines that no longer count as capacity about to arrive. */
    private var uncountedMachines: Set<String> = emptySet()

    /** The groups in which many new machines boot late, as of the last [refresh]. */
    var delayedGroups: Set<GroupKey> = emptySet()
        private set

    /** Records that a machine of [group] has just registered. */
    fun recordBoot(group: GroupKey) {
        bootTimesByGroup.getOrPut(group) { ArrayDeque() }.addLast(ctx.now)
    }

    /** Finds the delayed groups among [bootingMachines] anew. To be called once in each iteration. */
    fun refresh(bootingMachines: Collection<BootingMachine>, catalog: Catalog) {
        val overdueByGroup = findOverdueByGroup(bootingMachines, catalog)
        val bootedByGroup = overdueByGroup.keys.associateWith { countRecentBoots(it, catalog) }
        // A new leader does not know which machines came up before the failover. It counts the overdue machines of each
        // group, but not yet their sum over all groups.
        val isBroad = ctx.now > startedAt + longestWindowS(catalog) &&
            isManyOverdue(overdueByGroup.values.sumOf { it.size }, bootedByGroup.values.sum())
        val nowDelayed = overdueByGroup.filter { (group, overdue) ->
            val booted = bootedByGroup[group] ?: 0
            isManyOverdue(overdue.size, booted) || (isBroad && isLargePart(overdue.size, booted))
        }.keys
        for (group in nowDelayed - delayedGroups) {
            log.info(
                "group boots late group={} overdue={} booted={}",
                group,
                overdueByGroup[group]?.size,
                bootedByGroup[group],
            )
        }
        for (group in delayedGroups - nowDelayed) log.info("group boots late no more group={}", group)
        delayedGroups = nowDelayed.toSet()
        uncountedMachines = overdueByGroup
            .flatMap { (group, overdue) -> if (group in delayedGroups) selectReplaced(overdue) else overdue }
            .mapTo(HashSet()) { it.machine }
    }

    private fun findOverdueByGroup(
        bootingMachines: Collection<BootingMachine>,
        catalog: Catalog,
    ): Map<GroupKey, List<BootingMachine>> {
        val overdueByGroup = LinkedHashMap<GroupKey, ArrayList<BootingMachine>>()
        for (booting in bootingMachines) {
            val type = catalog[booting.group.type] ?: continue
            if (ctx.now - booting.requestedAt < bootDurations.overdueAfterS(type)) continue
            overdueByGroup.getOrPut(booting.group) { ArrayList() }.add(booting)
        }
        return overdueByGroup
    }

    /**
     * Selects the machines of [overdue] that are replaced in a delayed group: so few that, replacements of replacements
     * included, no more than twice the needed capacity is requested.
     */
    private fun selectReplaced(overdue: List<BootingMachine>): List<BootingMachine> =
        overdue.filterIndexed { index, _ -> index % OVERDUE_PER_REPLACEMENT == 0 }

    private fun isManyOverdue(overdue: Int, booted: Int): Boolean =
        overdue >= MIN_OVERDUE && isLargePart(overdue, booted)

    private fun isLargePart(overdue: Int, booted: Int): Boolean = overdue * DELAYED_DIVISOR >= overdue + booted

    private fun longestWindowS(catalog: Catalog): Double =
        (catalog.types.maxOfOrNull { bootDurations.overdueAfterS(it) } ?: 0.0) * RECENT_WINDOW_FACTOR

    private fun countRecentBoots(group: GroupKey, catalog: Catalog): Int {
        val bootTimes = bootTimesByGroup[group] ?: return 0
        val windowS = (catalog[group.type]?.let { bootDurations.overdueAfterS(it) } ?: 0.0) * RECENT_WINDOW_FACTOR
        while (bootTimes.isNotEmpty() && bootTimes.first() < ctx.now - windowS) bootTimes.removeFirst()
        return bootTimes.size
    }

    /** Whether [booting] still counts as capacity about to arrive. */
    fun isCounted(booting: BootingMachine): Boolean = booting.machine !in uncountedMachines

    /** Returns the seconds after its request when a machine of [group] that has not registered is given up (UC5). */
    fun registrationTimeoutS(group: GroupKey): Double =
        ctx.tuning.unregisteredS * if (group in delayedGroups) DELAYED_TIMEOUT_FACTOR else 1.0

    private companion object {
        /** The minimum number of overdue machines that makes a group delayed; one or two may be chance. */
        const val MIN_OVERDUE = 3

        /**
         * The inverse of the minimum share of overdue machines among a group's new machines for the group to be
         * delayed.
         */
        const val DELAYED_DIVISOR = 3

        /** The number of overdue machines of a delayed group of which one is replaced. */
        const val OVERDUE_PER_REPLACEMENT = 2

        /**
         * The time for which a boot counts as recent, as a multiple of the time after which a boot of its type is
         * overdue.
         */
        const val RECENT_WINDOW_FACTOR = 2.0

        /** The factor by which the registration timeout of a machine is longer in a delayed group. */
        const val DELAYED_TIMEOUT_FACTOR = 1.5
    }
}
