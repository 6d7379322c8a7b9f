package plankwall.gateway

import plankwall.authorization.InvalidPolicyException
import plankwall.authorization.PolicyReader
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.AdminRequest
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.Verdict
import plankwall.wire.AccessKeys
import plankwall.wire.AdminCodec
import plankwall.wire.AuditSeal
import plankwall.wire.AuditSegment
import plankwall.wire.JobCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * Handles requests that read or publish policies, or read the audit log. They are authenticated, authorized and
 * recorded like requests about jobs.
 */
internal class AdminService(
    private val ctx: Context,
    private val policies: PolicyStore,
    private val authenticator: RequestAuthenticator,
) {
    /** Authenticates the sender of [request] and answers it. [adminRequest]: the content of the request. */
    fun handle(request: RequestId, credentials: Credentials, adminRequest: AdminRequest) =
        authenticator.authenticate(request, credentials) { caller -> Exchange(request, caller, adminRequest).handle() }

    /** The handling of one request of an authenticated [caller]. The request is answered exactly once. */
    private inner class Exchange(
        private val request: RequestId,
        private val caller: AuthenticatedCaller,
        private val adminRequest: AdminRequest,
    ) {
        private val action = if (adminRequest is AdminRequest.AuditRecord) Action.AUDIT else Action.ADMINISTER
        private val subject = when (adminRequest) {
            is AdminRequest.AuditRecord -> "trail ${adminRequest.node ?: "seals"} ${adminRequest.number}"
            is AdminRequest.Publish -> "rights ${adminRequest.base + 1}"
            is AdminRequest.Rollback -> "rights ${adminRequest.base + 1} as ${adminRequest.to}"
            is AdminRequest.PolicyVersion -> "rights ${adminRequest.version}"
            AdminRequest.CurrentPolicy -> "rights"
        }

        fun handle() {
            val verdict = authorize()
            if (!verdict.allowed) {
                recordAndAnswer(verdict, 403, JobCodec.error("you may not ${action.word}"))
                return
            }
            when (adminRequest) {
                AdminRequest.CurrentPolicy -> showCurrentPolicy(verdict)
                is AdminRequest.PolicyVersion -> readVersion(adminRequest.version) { text ->
                    recordAndAnswer(verdict, 200, AdminCodec.writeRights(adminRequest.version, "", 0, text))
                }
                is AdminRequest.AuditRecord -> showAuditRecord(verdict, adminRequest)
                is AdminRequest.Publish -> publish(adminRequest.base, adminRequest.text)
                is AdminRequest.Rollback -> readVersion(adminRequest.to) { publish(adminRequest.base, it) }
            }
        }

        /** Decides by the current policy. It is called again after each answer of the store: the policy may change. */
        private fun authorize(): Verdict = caller.authorize(action, null)

        private fun answer(status: Int, body: ByteArray, retryAfterS: Int? = null) =
            ctx.out.answer(request, status, body, retryAfterS)

        private fun recordAndAnswer(verdict: Verdict, status: Int, body: ByteArray) =
            caller.record(Decision(action, subject, verdict, status)) { stored ->
                if (stored) answer(status, body) else answerUnavailable("the decision can't be recorded now")
            }

        private fun answerUnavailable(reason: String) = answer(503, JobCodec.error(reason), 1)

        private fun showCurrentPolicy(verdict: Verdict) {
            val head = policies.head
            if (head == null) {
                answerUnavailable("the rights are not loaded yet")
            } else {
                recordAndAnswer(verdict, 200, AdminCodec.writeRights(head.version, head.by, head.atMs, policies.text))
            }
        }

        /** Reads the text of [version] for [onText], or answers the request with an error. */
        private fun readVersion(version: Long, onText: (String) -> Unit) = policies.readParts(version) { parts ->
            when {
                parts == null -> answerUnavailable("the state service can't be read")
                // A publication that failed may have left parts of a version that is newer than the published one.
                parts.isEmpty() || version > policies.policy.version -> {
                    val error = JobCodec.error("there is no version $version of the rights")
                    recordAndAnswer(authorize(), 404, error)
                }
                else -> onText(parts.joinToString(""))
            }
        }

        private fun publish(base: Long, text: String) {
            val verdict = authorize()
            val head = policies.head
            val problem = findProblem(base, text)
            when {
                head == null -> answerUnavailable("the rights are not loaded yet")
                base != head.version -> {
                    val error = JobCodec.error("the rights are at version ${head.version} by now, not $base")
                    recordAndAnswer(verdict, 409, error)
                }
                problem != null -> recordAndAnswer(verdict, 400, JobCodec.error(problem))
                else -> policies.prepare(base, policies.stamp, text, caller.name) { prepared ->
                    if (prepared == null) {
                        answerUnavailable("the state service did not confirm")
                    } else {
                        store(verdict, prepared)
                    }
                }
            }
        }

        /**
         * Returns why [text] can't be published as the version after [base]: it is invalid, or it would take away the
         * caller's own right to administer. Null if it can.
         */
        private fun findProblem(base: Long, text: String): String? = try {
            val nextPolicy = PolicyReader.read(text, base + 1)
            if (nextPolicy.authorize(caller.name, Action.ADMINISTER, null).allowed) {
                null
            } else {
                "with these rights you could not administer any more: have them published by a principal that still can"
            }
        } catch (e: InvalidPolicyException) {
            e.message
        }

        private fun store(verdict: Verdict, prepared: PreparedPolicy) =
            caller.change(Decision(action, subject, verdict, 200), prepared.txn) { result ->
                when (result) {
                    is StateResult.Committed -> policies.refresh {
                        answer(200, AdminCodec.writePublished(prepared.version))
                    }
                    is StateResult.Conflict ->
                        recordAndAnswer(authorize(), 409, JobCodec.error("another version was published meanwhile"))
                    else -> answerUnavailable("the state service did not confirm")
                }
            }

        private fun showAuditRecord(verdict: Verdict, auditRecord: AdminRequest.AuditRecord) {
            val key =
                auditRecord.node?.let { AccessKeys.segment(it, auditRecord.number) }
                    ?: AccessKeys.seal(auditRecord.number)
            ctx.out.state(StateOp.Get(key)) { result ->
                val value = (result as? StateResult.Item)?.item?.value
                when {
                    result !is StateResult.Item -> answerUnavailable("the state service can't be read")
                    value is AuditSegment -> recordAndAnswer(verdict, 200, AdminCodec.writeSegment(value))
                    value is AuditSeal -> recordAndAnswer(verdict, 200, AdminCodec.writeSeal(value))
                    else -> recordAndAnswer(verdict, 404, JobCodec.error("the audit log has no such segment or seal"))
                }
            }
        }
    }
}
