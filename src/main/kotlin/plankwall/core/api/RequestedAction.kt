package plankwall.core.api

import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.Verdict

/**
 * The [action] that a request asks for on the job with the id [job], and the [verdict] of the access policy on it.
 * [verdict] is null if the controller runs without access control, which allows all actions.
 */
internal class RequestedAction(val action: Action, val job: String, val verdict: Verdict?) {
    /** Returns the decision to record when the caller is answered with [status]; null without access control. */
    fun decisionFor(status: Int): Decision? = verdict?.let { Decision(action, job, it, status) }
}
