package plankwall.core.statemachine

import plankwall.model.JobFacts
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** An authenticated caller. */
interface Caller {
    val name: String

    /**
     * Decides whether the caller may do [action]. [job] is null for what concerns no job, or one of which nothing may
     * be revealed.
     */
    fun authorize(action: Action, job: JobFacts?): Verdict

    /** Stores a decision that changes nothing else; [then] learns whether the caller may be answered now. */
    fun record(decision: Decision, then: (stored: Boolean) -> Unit)

    /**
     * Stores a change and its decision in one transaction. It is guarded by the policy that allowed the change: if that
     * was replaced, the result is a conflict on its key, and the new policy is known by the time [then] is called.
     */
    fun change(decision: Decision, txn: StateOp.Txn, then: (StateResult) -> Unit)
}
