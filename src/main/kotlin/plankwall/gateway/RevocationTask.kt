package plankwall.gateway

import org.slf4j.LoggerFactory
import plankwall.audit.AuditEntry
import plankwall.audit.AuditLogWriter
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.LeaseAuthority
import plankwall.core.statemachine.Verdict
import plankwall.model.factsFor
import plankwall.wire.AccessKeys
import plankwall.wire.Guard
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.RightsApplied
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * What new rights mean for jobs that were accepted under older ones. The leader goes through the live jobs once for
 * each version: a job whose owner may not submit it any more is marked with that version, and withdrawn if the rule
 * says so, in one transaction with the trail's entry that links the two. A version counts as applied once no job is
 * left; a new leader goes on where that was not stored, and finds those that are marked already.
 */
internal class RevocationTask(
    private val ctx: Context,
    private val schedulerState: PolicyStore,
    private val auditLog: AuditLogWriter,
    private val entry: (AccessGateway.Who, String, String, Verdict, Int, String) -> AuditEntry,
) {
    private val log = LoggerFactory.getLogger("gate")
    private var epoch = 0L
    private var applied = UNREAD
    private var busy = false
    private var retryAt = 0.0

    fun tick(authority: LeaseAuthority?) {
        if (authority == null) return
        if (epoch != authority.epoch) {
            epoch = authority.epoch
            applied = UNREAD
        }
        val version = schedulerState.policy.version
        if (busy || version == 0L || applied >= version || ctx.now < retryAt || !authority.mayWrite()) return
        busy = true
        val term = epoch
        if (applied !=
            UNREAD
        ) {
            page(term, null, Pass(version))
        } else {
            ctx.out.state(StateOp.Get(AccessKeys.APPLIED)) { result ->
                if (result is StateResult.Item) {
                    applied = (result.item?.value as? RightsApplied)?.version ?: 0L
                } else {
                    pause()
                }
                busy = false
            }
        }
    }

    private fun pause() {
        retryAt = ctx.now + RETRY_S
    }

    private class Pass(val version: Long) {
        var open = 0
        var read = false
        var failed = false
    }

    private fun page(term: Long, after: String?, pass: Pass): Unit =
        ctx.out.state(StateOp.Range(Keys.JOBS, after, PAGE)) { result ->
            if (result !is StateResult.Items || term != epoch) {
                pass.failed = true
                pass.read = true
                settle(term, pass)
                return@state
            }
            result.items.forEach { examine(term, it, pass) }
            if (result.more && result.items.isNotEmpty()) {
                page(term, result.items.last().key, pass)
            } else {
                pass.read = true
                settle(term, pass)
            }
        }

    private fun examine(term: Long, item: StateItem, pass: Pass) {
        val record = item.value as? JobRecord ?: return
        val owned = record.owned ?: return
        if (record.cancelledMs > 0 || owned.revokedBy > 0) return
        val facts = record.spec.factsFor(owned.owner)
        val verdict = schedulerState.policy.authorize(owned.owner, Action.SUBMIT, facts)
        if (verdict.allowed) return
        val cancel = schedulerState.policy.cancelsOnDeny(owned.owner, Action.SUBMIT, facts) ?: owned.cancelOnRevoke
        val marked = record.copy(
            owned = owned.copy(revokedBy = pass.version),
            cancelledMs = if (cancel) ctx.time.wallMs else 0,
        )
        val e =
            entry(
                AccessGateway.Who(owned.owner, "", ""),
                "revoke",
                record.spec.id,
                verdict,
                0,
                if (cancel) "withdraw" else "finish",
            )
        val guards = listOf(Guard(item.key, item.version), Guard(Keys.LEADER, term))
        pass.open++
        auditLog.change(e, StateOp.Txn(guards, listOf(Write.Put(item.key, marked)))) { result ->
            pass.open--
            if (result is StateResult.Committed) {
                log.info(
                    "job {} of {}, who may not submit it any more by {}: {}",
                    record.spec.id,
                    owned.owner,
                    verdict.rule,
                    e.note,
                )
            } else {
                // Changed meanwhile, or nobody knows: looked at again in the next pass.
                pass.failed = true
            }
            settle(term, pass)
        }
    }

    private fun settle(term: Long, pass: Pass) {
        if (!pass.read || pass.open > 0 || !busy) return
        if (pass.failed || term != epoch || schedulerState.policy.version != pass.version) {
            busy = false
            pause()
            return
        }
        val guards = listOf(Guard(Keys.LEADER, term), Guard(AccessKeys.HEAD, schedulerState.stamp))
        ctx.out.state(
            StateOp.Txn(guards, listOf(Write.Put(AccessKeys.APPLIED, RightsApplied(pass.version)))),
        ) { result ->
            busy = false
            if (result is StateResult.Committed) applied = pass.version else pause()
        }
    }

    private companion object {
        const val UNREAD = -1L
        const val PAGE = 200
        const val RETRY_S = 0.5
    }
}
