package plankwall.core.queue

/**
 * The part of a class's room that goes to its jobs that are out of reach, oldest first: put behind everything that can
 * still be served, they would wait for ever where new jobs never end. The room given to the others is counted, and
 * [PART] of it is owed to those behind.
 */
class OverdueShare {
    private var owedS = 0.0

    /**
     * Accounts for room worth [workS] seconds of the pool that went to a job of this [feasibility]. [anyOverdue]:
     * whether any job is out of reach.
     */
    fun onPlaced(feasibility: Feasibility, workS: Double, anyOverdue: Boolean) {
        owedS = when {
            !anyOverdue -> 0.0
            feasibility == Feasibility.OUT_OF_REACH -> owedS - workS
            else -> minOf(owedS + workS * PART / (1.0 - PART), MAX_OWED_S)
        }
    }

    /** Whether the oldest of those behind goes before all others now. */
    val isDue: Boolean get() = owedS > 0.0

    companion object {
        /** The part of the class's room that is owed to jobs out of reach. */
        const val PART = 0.125

        /** Seconds of the whole pool: what has been owed for long is not made up for all at once. */
        private const val MAX_OWED_S = 5.0
    }
}
