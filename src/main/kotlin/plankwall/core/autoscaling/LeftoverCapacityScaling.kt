package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.model.GroupKey

/**
 * What may be requested in one iteration for best-effort jobs, so that they don't fill all machines that the cloud has
 * while jobs with service-level objectives wait: [left] machines, of groups that [isAllowed] holds for.
 */
class LeftoverCapacityScaling(private var left: Int, private val isAllowed: (GroupKey) -> Boolean) {
    /** A machine of the group that [choose] gives, if any may still be requested. */
    fun take(choose: () -> GroupKey?): GroupKey? = if (left > 0) choose()?.also { left-- } else null

    /** Whether a machine of [group] may be requested for [job]. */
    fun mayRequest(job: Job, group: GroupKey): Boolean = mayFill(job, group) && isAllowed(group)

    /**
     * Whether room of [group] counts for [job]: until it has waited long, a best-effort job that may use spot machines
     * does without ordinary ones, which cost three times as much.
     */
    fun mayFill(job: Job, group: GroupKey): Boolean = !job.bestEffort || group.spot || !job.spec.spot || job.starving

    companion object {
        /** Nothing may be requested. */
        val NONE: LeftoverCapacityScaling get() = LeftoverCapacityScaling(0) { false }

        /**
         * How many machines may be requested beside a fleet of [fleet], of which best-effort jobs take [taken], and
         * [arriving] ones: a quarter of the fleet at a time, or a few. While jobs with service-level objectives wait,
         * or did lately ([contested]), best-effort jobs take no more than half of the fleet, so that the others find
         * room in the cloud; else they are not bounded so, and don't starve beside an idle cloud.
         */
        fun leftAt(fleet: Int, arriving: Int, taken: Double, contested: Boolean): Int {
            val pace = maxOf(MIN_MACHINES, fleet / PACE_PART) - arriving
            if (!contested) return pace.coerceAtLeast(0)
            val share = maxOf(MIN_MACHINES, fleet / 2) - taken.toInt() - arriving
            return minOf(pace, share).coerceAtLeast(0)
        }

        /** One of so many machines of the fleet. */
        private const val PACE_PART = 4
        private const val MIN_MACHINES = 4
    }
}
