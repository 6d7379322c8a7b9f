package plankwall.core.autoscaling

import plankwall.core.state.Job
import plankwall.model.GroupKey

/**
 * The limit on scale-out for best-effort jobs in one iteration: [machinesLeft] machines, of groups for which
 * [isGroupAllowed] returns true. Without it best-effort jobs could take all machines that the cloud has while jobs with
 * service-level objectives wait.
 */
class LeftoverCapacityScaling(private var machinesLeft: Int, private val isGroupAllowed: (GroupKey) -> Boolean) {
    /**
     * Returns the group that [chooseGroup] returns and counts one machine of it. Returns null if no machine is left or
     * no group is chosen.
     */
    fun takeMachine(chooseGroup: () -> GroupKey?): GroupKey? =
        if (machinesLeft > 0) chooseGroup()?.also { machinesLeft-- } else null

    /** Whether a machine of [group] may be requested for [job]. */
    fun mayRequest(job: Job, group: GroupKey): Boolean = mayFill(job, group) && isGroupAllowed(group)

    /**
     * Whether capacity of [group] may be planned for [job]. A best-effort job that may use spot machines gets no
     * ordinary ones, which cost three times as much, until it has waited for long.
     */
    fun mayFill(job: Job, group: GroupKey): Boolean = !job.bestEffort || group.spot || !job.spec.spot || job.starving

    companion object {
        /** No machines may be requested for best-effort jobs. */
        val NONE: LeftoverCapacityScaling get() = LeftoverCapacityScaling(0) { false }

        /**
         * Computes how many machines may be requested for best-effort jobs. At most a quarter of the fleet, or a few
         * machines, may be arriving at a time. While jobs that are not best-effort wait, or did recently, best-effort
         * jobs also use no more than half of the fleet, so that the cloud has machines left for the others. At other
         * times that limit does not apply, so that best-effort jobs do not starve while the cloud is idle.
         *
         * @param fleetSize the number of running machines
         * @param arriving the number of machines that are expected to arrive
         * @param usedByBestEffort the part of the fleet that best-effort jobs use, in machines
         * @param isContested whether jobs that are not best-effort wait, or did recently
         */
        fun computeMachineLimit(fleetSize: Int, arriving: Int, usedByBestEffort: Double, isContested: Boolean): Int {
            val paceLimit = maxOf(MIN_MACHINES, fleetSize / PACE_DIVISOR) - arriving
            if (!isContested) return paceLimit.coerceAtLeast(0)
            val shareLimit = maxOf(MIN_MACHINES, fleetSize / 2) - usedByBestEffort.toInt() - arriving
            return minOf(paceLimit, shareLimit).coerceAtLeast(0)
        }

        /** The number of machines of the fleet for each of which one machine may be arriving at a time. */
        private const val PACE_DIVISOR = 4

        /** The lower bound of both limits, so that a small fleet can grow. */
        private const val MIN_MACHINES = 4
    }
}
