package plankwall.loadtest

import java.util.Random

/** What happens to one call of the simulated state service. */
enum class StoreCallFate {
    /** The call is executed and answered. */
    NORMAL,

    /** The call is refused without being executed. */
    REFUSED,

    /** The call is executed, but the request and the answer are delayed. */
    SLOW,

    /** The call gets no answer and is executed later. */
    EXECUTED_LATE,

    /** The call is executed at once and gets no answer. */
    ANSWER_LOST,
}

/** The faults of the simulated state service that affect single controllers or a share of the calls. */
class StoreFaults(private val random: Random) {
    /** The indices of the controllers whose requests are refused. */
    val refusedNodes = HashSet<Int>()

    /** The share of the calls that are slow. */
    var slowShare = 0.0

    /** The share of the transactions that are executed late and get no answer. */
    var lateWriteShare = 0.0

    /** The share of the transactions whose answers are lost. */
    var lostAnswerShare = 0.0

    /** The number of calls that met each fate. */
    val counts = HashMap<StoreCallFate, Int>()

    /** Draws the fate of a call of the controller at index [node]. */
    fun draw(node: Int, isTransaction: Boolean, isWatch: Boolean): StoreCallFate {
        val fate = when {
            node in refusedNodes -> StoreCallFate.REFUSED
            isTransaction && happens(lateWriteShare) -> StoreCallFate.EXECUTED_LATE
            isTransaction && happens(lostAnswerShare) -> StoreCallFate.ANSWER_LOST
            !isWatch && happens(slowShare) -> StoreCallFate.SLOW
            else -> StoreCallFate.NORMAL
        }
        counts.merge(fate, 1, Int::plus)
        return fate
    }

    private fun happens(share: Double): Boolean = share > 0 && random.nextDouble() < share

    /** Returns the delay of the request or of the answer of a slow call, in milliseconds. */
    fun slowDelayMs(): Long = random.nextInt(MAX_SLOW_DELAY_MS).toLong()

    /** Returns the delay after which a late transaction is executed, in seconds. */
    fun lateWriteDelayS(): Double = MIN_LATE_WRITE_S + random.nextDouble() * (MAX_LATE_WRITE_S - MIN_LATE_WRITE_S)

    companion object {
        /** The time after which a caller without an answer has given up, in milliseconds. */
        const val NO_ANSWER_MS = 2_000L
        private const val MAX_SLOW_DELAY_MS = 600
        private const val MIN_LATE_WRITE_S = 2.0
        private const val MAX_LATE_WRITE_S = 12.0
    }
}
