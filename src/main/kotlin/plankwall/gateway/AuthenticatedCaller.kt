package plankwall.gateway

import plankwall.audit.AuditLogWriter
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.Verdict
import plankwall.model.JobFacts
import plankwall.wire.AccessKeys
import plankwall.wire.Guard
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * A caller that proved its identity, together with the origin of its request. [ownJobsOnly]: whether the caller may
 * only read its own jobs, because this node's copy of the policy is too old.
 */
internal class AuthenticatedCaller(
    private val origin: RequestOrigin,
    private val ownJobsOnly: Boolean,
    private val policies: PolicyStore,
    private val auditLog: AuditLogWriter,
    private val entryFactory: AuditEntryFactory,
    private val denials: DenialLimiter,
) : Caller {
    override val name: String get() = origin.name

    override fun authorize(action: Action, job: JobFacts?): Verdict {
        if (ownJobsOnly) {
            return Verdict(action == Action.SHOW && job?.owner == name, "rights too old: own jobs may be looked at")
        }
        return policies.policy.authorize(name, action, job)
    }

    override fun record(decision: Decision, onRecorded: (Boolean) -> Unit) {
        val entry = entryFactory.create(origin, decision)
        val verdict = decision.verdict
        if (!verdict.allowed) {
            denials.recordDenial(name)
            log.info(
                "action denied caller={} action={} subject={} rule={}",
                name,
                decision.action.word,
                decision.subject,
                verdict.rule,
            )
        }
        // While the store can't be reached, reads of the caller's own jobs are answered at once and recorded later.
        if (ownJobsOnly && verdict.allowed) {
            onRecorded(auditLog.recordLater(entry))
        } else {
            auditLog.record(entry, onRecorded)
        }
    }

    /**
     * Guards [txn] on the head of the policy as well, so that it fails if a version has been published that this node
     * has not read. That version is then read before the result is passed on.
     */
    override fun change(decision: Decision, txn: StateOp.Txn, onResult: (StateResult) -> Unit) {
        val hasPolicyGuard = txn.guards.any { it.key == AccessKeys.HEAD }
        val guardedTxn =
            if (hasPolicyGuard) txn else txn.copy(guards = txn.guards + Guard(AccessKeys.HEAD, policies.stamp))
        auditLog.change(entryFactory.create(origin, decision), guardedTxn) { result ->
            if (result is StateResult.Conflict && AccessKeys.HEAD in result.failed) {
                policies.refresh { onResult(result) }
            } else {
                onResult(result)
            }
        }
    }
}
