package plankwall.gateway

import plankwall.audit.AuditEntry
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.Verdict

/**
 * The origin of a request, as the audit log records it.
 *
 * @property name the name of the principal, empty if the caller proved no identity; for requests refused unchecked, the
 * principal or the network whose requests these were
 * @property keyId the id of the key that signed the caller's token; empty if there is none
 * @property network the network that the caller's requests are rate limited by, as
 * [plankwall.identity.Networks.neighbourhood] returns it; empty if the entry is not about one request
 * @property requestId the id that the caller gave the request in its token; empty if there is none
 */
class RequestOrigin(val name: String, val keyId: String, val network: String, val requestId: String = "")

/** Creates audit entries. Their ids stay unique when this node restarts, since they contain its incarnation. */
internal class AuditEntryFactory(private val ctx: Context, private val policies: PolicyStore) {
    /** The epoch of this node's leadership term; 0 while it does not lead. */
    var epoch = 0L
    private var nextNumber = 0L

    /** Creates an entry for [decision] on a request from [origin]. */
    fun create(origin: RequestOrigin, decision: Decision): AuditEntry =
        create(origin, decision.action.word, decision.subject, decision.verdict, decision.status)

    /**
     * Creates an entry for an action that the policy language has no [plankwall.core.statemachine.Action] for.
     * [subject]: the job or the record that the action concerns; for requests refused unchecked, `principal` or
     * `network`, which says what [RequestOrigin.name] is the name of.
     */
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
        key = origin.keyId,
        network = origin.network,
        action = action,
        subject = subject,
        allowed = verdict.allowed,
        rule = verdict.rule,
        version = policies.policy.version,
        status = status,
        request = origin.requestId,
        note = note,
    )

    private companion object {
        const val ID_RADIX = 36
    }
}
