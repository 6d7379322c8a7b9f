package plankwall.core.autoscaling

import org.slf4j.LoggerFactory
import plankwall.core.state.BootingMachine
import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.GroupKey

/**
 * Finds groups whose new machines come up late or not at all, many together. A single straggler is replaced at once;
 * where a third of a group is overdue, each replacement would be overdue in its turn, and one wave of demand would be
 * requested again and again. So in such a group a late boot is not taken for a lost one: part of the overdue machines
 * still count as room about to arrive, they are given up only after a longer time, and other groups are expanded first.
 *
 * It needs no stored state of its own: what was requested when is in the stored fleet record, so a new leader finds the
 * same groups at once.
 */
class BootDelayDetector(
    private val ctx: Context,
    private val durations: BootDurations,
    private val startedAt: Double,
) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private val bootedAt = HashMap<GroupKey, ArrayDeque<Double>>()
    private var uncounted: Set<String> = emptySet()

    /** The groups whose machines boot late, as of the last [refresh]. */
    var delayedGroups: Set<GroupKey> = emptySet()
        private set

    /** Records that a machine of [group] came up now. */
    fun recordBoot(group: GroupKey) {
        bootedAt.getOrPut(group) { ArrayDeque() }.addLast(ctx.now)
    }

    /** To be called once in each iteration. */
    fun refresh(arrivals: Collection<BootingMachine>, catalog: Catalog) {
        val overdue = overdueByGroup(arrivals, catalog)
        val booted = overdue.keys.associateWith { recentBoots(it, catalog) }
        // A new leader has not seen which machines came up before: a group's own number of stragglers counts for it,
        // the sum over all groups does not yet.
        val isBroad = ctx.now > startedAt + longestWindowS(catalog) &&
            isMany(overdue.values.sumOf { it.size }, booted.values.sum())
        val delayed = overdue.filter { (group, late) ->
            val recent = booted[group] ?: 0
            isMany(late.size, recent) || (isBroad && isLargePart(late.size, recent))
        }.keys
        for (group in delayed - delayedGroups) {
            log.info("group boots late group={} overdue={} booted={}", group, overdue[group]?.size, booted[group])
        }
        for (group in delayedGroups - delayed) log.info("group boots late no more group={}", group)
        delayedGroups = delayed.toSet()
        uncounted = overdue.flatMap { (group, late) -> if (group in delayedGroups) replaced(late) else late }
            .mapTo(HashSet()) { it.machine }
    }

    private fun overdueByGroup(
        arrivals: Collection<BootingMachine>,
        catalog: Catalog,
    ): Map<GroupKey, List<BootingMachine>> {
        val overdue = LinkedHashMap<GroupKey, ArrayList<BootingMachine>>()
        for (booting in arrivals) {
            val type = catalog[booting.group.type] ?: continue
            if (ctx.now - booting.rentedAt < durations.overdueAfterS(type)) continue
            overdue.getOrPut(booting.group) { ArrayList() }.add(booting)
        }
        return overdue
    }

    /** So many that in the end no more than twice the room is requested. */
    private fun replaced(late: List<BootingMachine>): List<BootingMachine> =
        late.filterIndexed { index, _ -> index % LATE_PER_REPLACEMENT == 0 }

    private fun isMany(late: Int, booted: Int): Boolean = late >= MIN_LATE && isLargePart(late, booted)

    private fun isLargePart(late: Int, booted: Int): Boolean = late * DELAYED_PART >= late + booted

    private fun longestWindowS(catalog: Catalog): Double =
        (catalog.types.maxOfOrNull { durations.overdueAfterS(it) } ?: 0.0) * WINDOW_BOOTS

    private fun recentBoots(group: GroupKey, catalog: Catalog): Int {
        val boots = bootedAt[group] ?: return 0
        val windowS = (catalog[group.type]?.let { durations.overdueAfterS(it) } ?: 0.0) * WINDOW_BOOTS
        while (boots.isNotEmpty() && boots.first() < ctx.now - windowS) boots.removeFirst()
        return boots.size
    }

    /** Whether [booting] still counts as room about to arrive. */
    fun isCounted(booting: BootingMachine): Boolean = booting.machine !in uncounted

    /** Seconds since its request after which a machine of [group] that never registered is given up (UC5). */
    fun registrationTimeoutS(group: GroupKey): Double =
        ctx.tuning.unregisteredS * if (group in delayedGroups) DELAYED_TIMEOUT_FACTOR else 1.0

    private companion object {
        /** One or two say nothing. */
        const val MIN_LATE = 3

        /** One in so many overdue: delayed. */
        const val DELAYED_PART = 3

        /** One in so many overdue machines is replaced. */
        const val LATE_PER_REPLACEMENT = 2

        /** For how long a boot counts as recent, in times after which boots are overdue. */
        const val WINDOW_BOOTS = 2.0
        const val DELAYED_TIMEOUT_FACTOR = 1.5
    }
}
