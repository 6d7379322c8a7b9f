package plankwall.core.queue

/**
 * The part of a job class's capacity that goes to its jobs that are out of reach, the oldest first. They come after all
 * jobs that can still meet an objective, so they would wait forever where new jobs never stop arriving. Capacity given
 * to other jobs adds to a deficit of the jobs out of reach, of such a size that these jobs get [OVERDUE_PART] of all
 * capacity.
 */
class OverdueShare {
    /**
     * The deficit of the jobs out of reach, in seconds of the whole pool; negative if they got more than their part.
     */
    private var owedS = 0.0

    /**
     * Accounts for capacity worth [workS] seconds of the whole pool that went to a job of this [feasibility].
     * [anyOverdue]: whether any job of the class is out of reach; otherwise the deficit is 0.
     */
    fun onPlaced(feasibility: Feasibility, workS: Double, anyOverdue: Boolean) {
        owedS = when {
            !anyOverdue -> 0.0
            feasibility == Feasibility.OUT_OF_REACH -> owedS - workS
            else -> minOf(owedS + workS * OVERDUE_PART / (1.0 - OVERDUE_PART), MAX_OWED_S)
        }
    }

    /** Whether the oldest job that is out of reach goes before all others of its standing now. */
    val isDue: Boolean get() = owedS > 0.0

    companion object {
        /** The part of the class's capacity that jobs out of reach get while any of them waits. */
        const val OVERDUE_PART = 0.125

        /**
         * The maximum deficit, in seconds of the whole pool, so that a deficit of a long time is not made up all at
         * once.
         */
        private const val MAX_OWED_S = 5.0
    }
}
