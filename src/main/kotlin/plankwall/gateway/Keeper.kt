package plankwall.gateway

import plankwall.authorization.BadRights
import plankwall.authorization.RightsReader
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.KeeperRequest
import plankwall.core.statemachine.Proof
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.Verdict
import plankwall.wire.AccessKeys
import plankwall.wire.JobCodec
import plankwall.wire.KeeperCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.TrailSeal
import plankwall.wire.TrailSegment

/** Requests about the rights and the trail themselves: checked and recorded like all others. */
internal class Keeper(
    private val ctx: Context,
    private val book: RightsBook,
    private val entered: (RequestId, Proof, (Gatehouse.Guest) -> Unit) -> Unit,
) {
    fun handle(request: RequestId, proof: Proof, asked: KeeperRequest) = entered(request, proof) { guest ->
        Visit(request, guest, asked).handle()
    }

    private inner class Visit(
        private val request: RequestId,
        private val guest: Gatehouse.Guest,
        private val asked: KeeperRequest,
    ) {
        private val action = if (asked is KeeperRequest.Trail) Action.AUDIT else Action.ADMINISTER
        private val subject = when (asked) {
            is KeeperRequest.Trail -> "trail ${asked.node ?: "seals"} ${asked.number}"
            is KeeperRequest.Publish -> "rights ${asked.base + 1}"
            is KeeperRequest.Rollback -> "rights ${asked.base + 1} as ${asked.to}"
            is KeeperRequest.OldRights -> "rights ${asked.version}"
            KeeperRequest.Rights -> "rights"
        }
        private val verdict: Verdict get() = guest.judge(action, null)

        fun handle() {
            val v = verdict
            if (!v.allowed) {
                told(v, 403, JobCodec.error("you may not ${action.word}"))
                return
            }
            when (asked) {
                KeeperRequest.Rights -> current(v)
                is KeeperRequest.OldRights -> old(asked.version) { text ->
                    told(v, 200, KeeperCodec.rights(asked.version, "", 0, text))
                }
                is KeeperRequest.Trail -> trail(v, asked)
                is KeeperRequest.Publish -> publish(asked.base, asked.text)
                is KeeperRequest.Rollback -> old(asked.to) { publish(asked.base, it) }
            }
        }

        private fun answer(status: Int, body: ByteArray, retryAfterS: Int? = null) =
            ctx.out.answer(request, status, body, retryAfterS)

        private fun told(v: Verdict, status: Int, body: ByteArray) =
            guest.record(Decision(action, subject, v, status)) { stored ->
                if (stored) answer(status, body) else later("the decision can't be recorded now")
            }

        private fun later(why: String) = answer(503, JobCodec.error(why), 1)

        private fun current(v: Verdict) {
            val head = book.head
            if (head ==
                null
            ) {
                later("the rights are not known yet")
            } else {
                told(v, 200, KeeperCodec.rights(head.version, head.by, head.atMs, book.text))
            }
        }

        private fun old(version: Long, then: (String) -> Unit) = book.parts(version) { parts ->
            when {
                parts == null -> later("the state service can't be read")
                // Parts of a version that was never published lie beyond the newest one.
                parts.isEmpty() || version > book.policy.version -> told(
                    verdict,
                    404,
                    JobCodec.error("there is no version $version of the rights"),
                )
                else -> then(parts.joinToString(""))
            }
        }

        private fun publish(base: Long, text: String) {
            val v = verdict
            val head = book.head
            val wrong = wrongWith(base, text)
            when {
                head == null -> later("the rights are not known yet")
                base != head.version -> told(
                    v,
                    409,
                    JobCodec.error("the rights are at version ${head.version} by now, not $base"),
                )
                wrong != null -> told(v, 400, JobCodec.error(wrong))
                else -> book.prepare(base, book.stamp, text, guest.name) { ready ->
                    if (ready == null) later("the state service did not confirm") else store(v, ready)
                }
            }
        }

        private fun wrongWith(base: Long, text: String): String? = try {
            val next = RightsReader.read(text, base + 1)
            if (next.judge(guest.name, Action.ADMINISTER, null).allowed) {
                null
            } else {
                "by these rights you could not administer any more: have somebody publish them who still can"
            }
        } catch (e: BadRights) {
            e.message
        }

        private fun store(v: Verdict, ready: RightsBook.Prepared) =
            guest.change(Decision(action, subject, v, 200), ready.txn) { result ->
                when (result) {
                    is StateResult.Committed -> book.refresh { answer(200, KeeperCodec.published(ready.version)) }
                    is StateResult.Conflict -> told(
                        guest.judge(action, null),
                        409,
                        JobCodec.error("somebody else published meanwhile"),
                    )
                    else -> later("the state service did not confirm")
                }
            }

        private fun trail(v: Verdict, asked: KeeperRequest.Trail) {
            val key = asked.node?.let { AccessKeys.segment(it, asked.number) } ?: AccessKeys.seal(asked.number)
            ctx.out.state(StateOp.Get(key)) { result ->
                val value = (result as? StateResult.Item)?.item?.value
                when {
                    result !is StateResult.Item -> later("the state service can't be read")
                    value is TrailSegment -> told(v, 200, KeeperCodec.segment(value))
                    value is TrailSeal -> told(v, 200, KeeperCodec.seal(value))
                    else -> told(v, 404, JobCodec.error("the trail has no such piece"))
                }
            }
        }
    }
}
