package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.model.GroupKey

/**
 * What may be rented in one round for work that nobody said anything about: [left] machines, of groups that [allowed]
 * has nothing against. Guests of a quiet hour once filled every machine that the cloud had, and the operators' own work
 * waited behind them.
 */
class LeftoverCapacityScaling(private var left: Int, private val allowed: (GroupKey) -> Boolean) {
    /** A machine for it, if any may still be rented. */
    fun take(choose: () -> GroupKey?): GroupKey? = if (left > 0) choose()?.also { left-- } else null

    fun mayRent(job: Job, group: GroupKey): Boolean = mayFill(job, group) && allowed(group)

    /**
     * Whether room of [group] counts for [job]: until it has waited long, it does without what costs three times as
     * much.
     */
    fun mayFill(job: Job, group: GroupKey): Boolean = !job.bestEffort || group.spot || !job.spec.spot || job.starving

    companion object {
        val NONE: LeftoverCapacityScaling get() = LeftoverCapacityScaling(0) { false }

        /**
         * The pace: while little else is [arriving], a quarter of the [fleet] at a time, or a handful. While work with
         * an aim waits, or did lately ([contested]), such jobs ([taken], in machines) take no more than half of the
         * fleet, so that the others find room in the cloud. In quiet hours the bound goes: where a class had no aim,
         * four fifths of its jobs once starved beside an idle cloud.
         */
        fun leftAt(fleet: Int, arriving: Int, taken: Double, contested: Boolean): Int {
            val pace = maxOf(HANDFUL, fleet / PACE) - arriving
            return (
                if (contested) {
                    minOf(
                        pace,
                        maxOf(HANDFUL, fleet / 2) - taken.toInt() - arriving,
                    )
                } else {
                    pace
                }
                ).coerceAtLeast(0)
        }

        private const val PACE = 4
        private const val HANDFUL = 4
    }
}
