package plankwall.core.connectivity

import plankwall.core.statemachine.Context
import plankwall.wire.StateResult

/** Whether the state service serves this node, by the calls that each node makes regularly. */
internal class StoreReachability(private val ctx: Context) {
    private var consecutiveFailures = 0
    private var unansweredSince = Double.NaN

    /** A call that is held up for long counts as failed before it times out. */
    val isReachable: Boolean
        get() = consecutiveFailures < MAX_FAILURES && !(ctx.now - unansweredSince > MAX_UNANSWERED_S)

    /** A regular call was sent. */
    fun onCallSent() {
        if (unansweredSince.isNaN()) unansweredSince = ctx.now
    }

    /** A regular call ended with [result]. */
    fun onResult(result: StateResult) {
        if (isFailure(result)) {
            consecutiveFailures++
        } else {
            consecutiveFailures = 0
            unansweredSince = Double.NaN
        }
    }

    companion object {
        private const val MAX_FAILURES = 2

        /** An answer takes some milliseconds, a few hundred now and then; the call itself times out only later. */
        private const val MAX_UNANSWERED_S = 1.0

        /** Whether [result] says nothing about the store: the service did not answer, or not with a result. */
        fun isFailure(result: StateResult): Boolean = result == StateResult.Refused || result == StateResult.Unknown
    }
}
