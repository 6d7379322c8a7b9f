package plankwall.core.queue

/**
 * A part of the room that a class is given goes to what is out of reach, oldest first: put behind everything that can
 * still be served, it would wait for ever where new work never ends. What the others are given is counted, and an
 * eighth of it is owed to those behind.
 */
class OverdueShare {
    private var owedS = 0.0

    /**
     * Room worth [workS] seconds of the pool went to a job with a [prospect]. [behind]: whether any job is out of
     * reach.
     */
    fun gave(prospect: Feasibility, workS: Double, behind: Boolean) {
        owedS = when {
            !behind -> 0.0
            prospect == Feasibility.OUT_OF_REACH -> owedS - workS
            else -> minOf(owedS + workS * SHARE / (1.0 - SHARE), MOST_OWED_S)
        }
    }

    /** Whether the oldest of those behind goes before all others now. */
    val isDue: Boolean get() = owedS > 0.0

    companion object {
        const val SHARE = 0.125

        /** In seconds of the whole pool: what was owed for long is not made up for at one blow. */
        private const val MOST_OWED_S = 5.0
    }
}
