package plankwall.core.rental

import plankwall.core.jobs.Job
import plankwall.model.GroupKey

/**
 * What may be rented for work that nobody said anything about: [left] machines in this round, of groups that [allowed] has nothing
 * against, and spot ones wherever the job may use them. Guests of a quiet hour once filled every machine that the cloud had, most of
 * them at three times the spot price, and the operators' own work waited behind them.
 */
class SpareTimeRentals(var left: Int, private val allowed: (GroupKey) -> Boolean) {
    fun allows(job: Job, group: GroupKey): Boolean = (group.spot || !job.spec.spot) && allowed(group)

    companion object {
        val NONE: SpareTimeRentals get() = SpareTimeRentals(0) { false }

        /**
         * The pace: while little else is under way, a tenth of the fleet at a time. Whoever has aims to meet finds room in the
         * cloud meanwhile, and what was rented is at work before more is.
         */
        fun leftAt(fleet: Int, arriving: Int): Int = (maxOf(1, fleet / PACE) - arriving).coerceAtLeast(0)

        private const val PACE = 10
    }
}
