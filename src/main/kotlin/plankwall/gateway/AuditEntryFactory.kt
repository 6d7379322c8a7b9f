package plankwall.gateway

import plankwall.audit.AuditEntry
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.Verdict

/**
 * The origin of a request, as the audit log records it. [name] and [key]: the name and the key id of the principal,
 * empty if the caller proved no identity. [network]: see [plankwall.identity.Networks.neighbourhood]. [request]: the id
 * that the caller gave the request in its token.
 */
class RequestOrigin(val name: String, val key: String, val network: String, val request: String = "")

/** Creates audit entries. Their ids stay unique when this node restarts, since they contain its incarnation. */
internal class AuditEntryFactory(private val ctx: Context, private val policies: PolicyStore) {
    /** The epoch of this node's leadership term; 0 while it does not lead. */
    var epoch = 0L
    private var nextNumber = 0L

    /** Creates an entry for [decision] on a request from [origin]. */
    fun create(origin: RequestOrigin, decision: Decision): AuditEntry =
        create(origin, decision.action.word, decision.subject, decision.verdict, decision.status)

    /** Creates an entry for an action that the policy language has no [plankwall.core.statemachine.Action] for. */
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
        principal = origin.name,
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
