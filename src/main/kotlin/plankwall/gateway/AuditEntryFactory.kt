package plankwall.gateway

import plankwall.audit.AuditEntry
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.Verdict

/**
 * Where a request comes from, as the audit log records it. [name] and [key]: the principal and its key, empty where
 * nobody proved who asked. [network]: see [plankwall.identity.Networks.neighbourhood]. [request]: the caller's own id
 * of the request, from its token.
 */
class RequestOrigin(val name: String, val key: String, val network: String, val request: String = "")

/** Makes audit entries with ids that are unique over all restarts of this node. */
internal class AuditEntryFactory(private val ctx: Context, private val policies: PolicyStore) {
    /** The epoch of this node's leadership term; 0 while it does not lead. */
    var epoch = 0L
    private var nextNumber = 0L

    /** An entry for [decision] on a request from [origin]. */
    fun create(origin: RequestOrigin, decision: Decision): AuditEntry =
        create(origin, decision.action.word, decision.subject, decision.verdict, decision.status)

    /** An entry for what is no [plankwall.core.statemachine.Action] of the policy language. */
    fun create(
        origin: RequestOrigin,
        action: String,
        subject: String,
        verdict: Verdict,
        status: Int,
        note: String = "",
    ): AuditEntry = AuditEntry(
        id = "${ctx.incarnation.toString(ID_RADIX)}-${(nextNumber++).toString(ID_RADIX)}",
        atMs = ctx.time.wallMs,
        epoch = epoch,
        who = origin.name,
        key = origin.key,
        network = origin.network,
        action = action,
        subject = subject,
        allowed = verdict.allowed,
        rule = verdict.rule,
        version = policies.policy.version,
        status = status,
        request = origin.request,
        note = note,
    )

    private companion object {
        const val ID_RADIX = 36
    }
}
