package plankwall.core.api

import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.Verdict

/**
 * The [action] that a request asks for on [job], with the [verdict] of the authorization rules; null where the
 * controller runs without access control, which allows everything.
 */
internal class RequestedAction(val action: Action, val job: String, val verdict: Verdict?) {
    /** The decision to record when the caller is answered with [status]; null without access control. */
    fun decide(status: Int): Decision? = verdict?.let { Decision(action, job, it, status) }
}
