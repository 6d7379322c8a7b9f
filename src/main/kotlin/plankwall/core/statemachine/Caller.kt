package plankwall.core.statemachine

import plankwall.model.JobFacts
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** A caller that has proved its identity, with the request that it made. */
interface Caller {
    /** The name of the principal in the access policy. */
    val name: String

    /**
     * Decides by the policy whether the caller may do [action]. [job] is null if the action concerns no job, or a job
     * of which nothing may be revealed.
     */
    fun authorize(action: Action, job: JobFacts?): Verdict

    /** Stores a [decision] that belongs to no other change. [then] receives whether the caller may be answered now. */
    fun record(decision: Decision, onRecorded: (stored: Boolean) -> Unit)

    /**
     * Stores the change [txn] and the [decision] on it in one transaction, which is guarded on the policy that allowed
     * the change. If the policy was replaced, the result is a conflict on the policy's key, and the new policy is known
     * by the time that [onResult] is called.
     */
    fun change(decision: Decision, txn: StateOp.Txn, onResult: (StateResult) -> Unit)
}
