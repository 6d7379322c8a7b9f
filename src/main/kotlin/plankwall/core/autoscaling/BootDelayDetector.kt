package plankwall.core.autoscaling

import org.slf4j.LoggerFactory
import plankwall.core.state.BootingMachine
import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.GroupKey

/**
 * Groups (type, zone, kind) whose new machines come up late or not at all, many together. A single straggler is
 * replaced at once; where a third of a group is overdue, each replacement would be overdue in its turn, and one wave of
 * demand was once rented four times over while nothing came up for 90 s. So in such a group a late boot is not taken
 * for a lost one: two of three overdue machines still count as room about to arrive, they are given up only after twice
 * the usual patience, and other groups are rented in first.
 *
 * It needs no memory of its own: who was rented when is in the fleet's record, so a new leader sees the same trouble at
 * once.
 */
class BootDelayDetector(private val ctx: Context, private val boots: BootDurations, private val startedAt: Double) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private val recordBoot = HashMap<GroupKey, ArrayDeque<Double>>()
    private var uncounted: Set<String> = emptySet()

    var delayedGroups: Set<GroupKey> = emptySet()
        private set

    /** A machine of [group] came up [tookS] seconds after it was rented. */
    fun recordBoot(group: GroupKey) {
        recordBoot.getOrPut(group) { ArrayDeque() }.addLast(ctx.now)
    }

    /** To be called once a round. */
    fun refresh(arrivals: Collection<BootingMachine>, catalog: Catalog) {
        val overdue = LinkedHashMap<GroupKey, ArrayList<BootingMachine>>()
        for (a in arrivals) {
            val type = catalog[a.group.type] ?: continue
            if (ctx.now - a.rentedAt >= boots.overdueAfterS(type)) overdue.getOrPut(a.group) { ArrayList() }.add(a)
        }
        val up = overdue.keys.associateWith { g -> recentlyUp(g, catalog) }
        // A new leader has not seen who came up before: it believes a group's own handful, not the sum of single
        // stragglers.
        val broad = ctx.now > startedAt + longestS(catalog) && isMany(overdue.values.sumOf { it.size }, up.values.sum())
        val now = overdue.filter { (g, late) ->
            val came = up[g] ?: 0
            isMany(late.size, came) || (broad && late.size * OVERDUE_PART >= late.size + came)
        }.keys
        for (g in now - delayedGroups) {
            log.info(
                "group {}: {} machines overdue, {} came up lately: rented in last, and a late boot is not taken for a lost one",
                g,
                overdue[g]?.size,
                up[g],
            )
        }
        for (g in delayedGroups - now) log.info("group {} boots as usual again, or what was overdue is given up", g)
        delayedGroups = now.toSet()
        uncounted =
            overdue.flatMap { (g, late) ->
                if (g in
                    delayedGroups
                ) {
                    late.filterIndexed { i, _ -> i % REPLACED_PART == 0 }
                } else {
                    late
                }
            }
                .mapTo(HashSet()) { it.machine }
    }

    private fun isMany(late: Int, came: Int): Boolean = late >= HANDFUL && late * OVERDUE_PART >= late + came

    private fun longestS(catalog: Catalog): Double =
        (catalog.types.maxOfOrNull { boots.overdueAfterS(it) } ?: 0.0) * WINDOW

    private fun recentlyUp(g: GroupKey, catalog: Catalog): Int {
        val seen = recordBoot[g] ?: return 0
        val window = (catalog[g.type]?.let { boots.overdueAfterS(it) } ?: 0.0) * WINDOW
        while (seen.isNotEmpty() && seen.first() < ctx.now - window) seen.removeFirst()
        return seen.size
    }

    fun isCounted(a: BootingMachine): Boolean = a.machine !in uncounted

    /** For how long a machine of [group] that never registered is waited for, in seconds since it was rented. */
    fun registrationTimeoutS(group: GroupKey): Double =
        ctx.tuning.unregisteredS * if (group in delayedGroups) TROUBLED_PATIENCE else 1.0

    private companion object {
        /** A single one or two say nothing. */
        const val HANDFUL = 3

        /** One in so many overdue: trouble. */
        const val OVERDUE_PART = 3

        /** One in so many of those overdue is replaced, so that in the end no more than twice the room is rented. */
        const val REPLACED_PART = 2
        const val WINDOW = 2.0
        const val TROUBLED_PATIENCE = 1.5
    }
}
