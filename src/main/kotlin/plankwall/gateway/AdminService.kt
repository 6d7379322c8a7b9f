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

/** Requests about the rights and the trail themselves: checked and recorded like all others. */
internal class AdminService(
    private val ctx: Context,
    private val schedulerState: PolicyStore,
    private val entered: (RequestId, Credentials, (AccessGateway.Guest) -> Unit) -> Unit,
) {
    fun handle(request: RequestId, credentials: Credentials, asked: AdminRequest) =
        entered(request, credentials) { guest ->
            PendingRequest(request, guest, asked).handle()
        }

    private inner class PendingRequest(
        private val request: RequestId,
        private val guest: AccessGateway.Guest,
        private val asked: AdminRequest,
    ) {
        private val action = if (asked is AdminRequest.Trail) Action.AUDIT else Action.ADMINISTER
        private val subject = when (asked) {
            is AdminRequest.Trail -> "trail ${asked.node ?: "seals"} ${asked.number}"
            is AdminRequest.Publish -> "rights ${asked.base + 1}"
            is AdminRequest.Rollback -> "rights ${asked.base + 1} as ${asked.to}"
            is AdminRequest.OldRights -> "rights ${asked.version}"
            AdminRequest.Rights -> "rights"
        }
        private val verdict: Verdict get() = guest.authorize(action, null)

        fun handle() {
            val v = verdict
            if (!v.allowed) {
                respond(v, 403, JobCodec.error("you may not ${action.word}"))
                return
            }
            when (asked) {
                AdminRequest.Rights -> current(v)
                is AdminRequest.OldRights -> old(asked.version) { text ->
                    respond(v, 200, AdminCodec.rights(asked.version, "", 0, text))
                }
                is AdminRequest.Trail -> auditLog(v, asked)
                is AdminRequest.Publish -> publish(asked.base, asked.text)
                is AdminRequest.Rollback -> old(asked.to) { publish(asked.base, it) }
            }
        }

        private fun answer(status: Int, body: ByteArray, retryAfterS: Int? = null) =
            ctx.out.answer(request, status, body, retryAfterS)

        private fun respond(v: Verdict, status: Int, body: ByteArray) =
            guest.record(Decision(action, subject, v, status)) { stored ->
                if (stored) answer(status, body) else later("the decision can't be recorded now")
            }

        private fun later(why: String) = answer(503, JobCodec.error(why), 1)

        private fun current(v: Verdict) {
            val head = schedulerState.head
            if (head ==
                null
            ) {
                later("the rights are not known yet")
            } else {
                respond(v, 200, AdminCodec.rights(head.version, head.by, head.atMs, schedulerState.text))
            }
        }

        private fun old(version: Long, then: (String) -> Unit) = schedulerState.parts(version) { parts ->
            when {
                parts == null -> later("the state service can't be read")
                // Parts of a version that was never published lie beyond the newest one.
                parts.isEmpty() || version > schedulerState.policy.version -> respond(
                    verdict,
                    404,
                    JobCodec.error("there is no version $version of the rights"),
                )
                else -> then(parts.joinToString(""))
            }
        }

        private fun publish(base: Long, text: String) {
            val v = verdict
            val head = schedulerState.head
            val wrong = wrongWith(base, text)
            when {
                head == null -> later("the rights are not known yet")
                base != head.version -> respond(
                    v,
                    409,
                    JobCodec.error("the rights are at version ${head.version} by now, not $base"),
                )
                wrong != null -> respond(v, 400, JobCodec.error(wrong))
                else -> schedulerState.prepare(base, schedulerState.stamp, text, guest.name) { ready ->
                    if (ready == null) later("the state service did not confirm") else store(v, ready)
                }
            }
        }

        private fun wrongWith(base: Long, text: String): String? = try {
            val next = PolicyReader.read(text, base + 1)
            if (next.authorize(guest.name, Action.ADMINISTER, null).allowed) {
                null
            } else {
                "by these rights you could not administer any more: have somebody publish them who still can"
            }
        } catch (e: InvalidPolicyException) {
            e.message
        }

        private fun store(v: Verdict, ready: PolicyStore.Prepared) =
            guest.change(Decision(action, subject, v, 200), ready.txn) { result ->
                when (result) {
                    is StateResult.Committed -> schedulerState.refresh {
                        answer(200, AdminCodec.published(ready.version))
                    }
                    is StateResult.Conflict -> respond(
                        guest.authorize(action, null),
                        409,
                        JobCodec.error("somebody else published meanwhile"),
                    )
                    else -> later("the state service did not confirm")
                }
            }

        private fun auditLog(v: Verdict, asked: AdminRequest.Trail) {
            val key = asked.node?.let { AccessKeys.segment(it, asked.number) } ?: AccessKeys.seal(asked.number)
            ctx.out.state(StateOp.Get(key)) { result ->
                val value = (result as? StateResult.Item)?.item?.value
                when {
                    result !is StateResult.Item -> later("the state service can't be read")
                    value is AuditSegment -> respond(v, 200, AdminCodec.segment(value))
                    value is AuditSeal -> respond(v, 200, AdminCodec.seal(value))
                    else -> respond(v, 404, JobCodec.error("the trail has no such piece"))
                }
            }
        }
    }
}
