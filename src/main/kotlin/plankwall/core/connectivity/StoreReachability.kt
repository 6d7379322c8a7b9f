package plankwall.core.connectivity

import plankwall.core.statemachine.Context
import plankwall.wire.StateResult

/** Determines whether the state service serves this node, by the calls that each node makes regularly. */
internal class StoreReachability(private val ctx: Context) {
    private var consecutiveFailures = 0
    private var unansweredSince = Double.NaN

    /**
     * Whether the state service serves this node. A call that stays unanswered for long counts as failed before it
     * times out.
     */
    val isReachable: Boolean
        get() = consecutiveFailures < UNREACHABLE_AFTER_FAILURES && !(ctx.now - unansweredSince > MAX_UNANSWERED_S)

    /** Records that a regular call was sent. */
    fun onCallSent() {
        if (unansweredSince.isNaN()) unansweredSince = ctx.now
    }

    /** Records that a regular call ended with [result]. */
    fun onResult(result: StateResult) {
        if (isFailure(result)) {
            consecutiveFailures++
        } else {
            consecutiveFailures = 0
            unansweredSince = Double.NaN
        }
    }

    companion object {
        private const val UNREACHABLE_AFTER_FAILURES = 2

        /** An answer takes some milliseconds, and now and then a few hundred; the call itself times out only later. */
        private const val MAX_UNANSWERED_S = 1.0

        /**
         * Whether [result] shows that the service did not serve the call: the service refused it, or there was no
         * usable answer.
         */
        fun isFailure(result: StateResult): Boolean = result == StateResult.Refused || result == StateResult.Unknown
    }
}
