package plankwall.gateway

import plankwall.audit.AuditLogWriter
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.LeaseAuthority
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
 * Applies a new policy to jobs that were accepted under an older one. The leader goes through the live jobs once for
 * each version: a job whose owner may not submit it any more is marked with that version, and cancelled if the rule
 * says so, in one transaction with its audit entry. A version counts as applied once every job was examined; a new
 * leader starts over where that was not stored, and skips the jobs that are marked already.
 */
internal class RevocationTask(
    private val ctx: Context,
    private val policies: PolicyStore,
    private val auditLog: AuditLogWriter,
    private val entries: AuditEntryFactory,
) {
    private var epoch = 0L

    /** The newest version that is known to be applied, or [UNREAD]. */
    private var appliedVersion = UNREAD
    private var isBusy = false
    private var retryAt = 0.0

    /** Starts a pass where the policy is newer than the one applied last. [authority]: null while not leading. */
    fun tick(authority: LeaseAuthority?) {
        if (authority == null) return
        if (epoch != authority.epoch) {
            epoch = authority.epoch
            appliedVersion = UNREAD
        }
        val version = policies.policy.version
        if (isBusy || version == 0L || appliedVersion >= version || ctx.now < retryAt || !authority.mayWrite()) return
        isBusy = true
        if (appliedVersion == UNREAD) readAppliedVersion() else examinePage(epoch, null, Pass(version))
    }

    private fun readAppliedVersion() = ctx.out.state(StateOp.Get(AccessKeys.APPLIED)) { result ->
        if (result is StateResult.Item) {
            appliedVersion = (result.item?.value as? RightsApplied)?.version ?: 0L
        } else {
            scheduleRetry()
        }
        isBusy = false
    }

    private fun scheduleRetry() {
        retryAt = ctx.now + RETRY_S
    }

    /** One walk over all live jobs. */
    private class Pass(val version: Long) {
        var openWrites = 0
        var isRead = false
        var hasFailed = false
    }

    private fun examinePage(term: Long, after: String?, pass: Pass): Unit =
        ctx.out.state(StateOp.Range(Keys.JOBS, after, PAGE_SIZE)) { result ->
            if (result !is StateResult.Items || term != epoch) {
                pass.hasFailed = true
                pass.isRead = true
                finishIfDone(term, pass)
                return@state
            }
            result.items.forEach { examine(term, it, pass) }
            if (result.more && result.items.isNotEmpty()) {
                examinePage(term, result.items.last().key, pass)
            } else {
                pass.isRead = true
                finishIfDone(term, pass)
            }
        }

    private fun examine(term: Long, item: StateItem, pass: Pass) {
        val record = item.value as? JobRecord ?: return
        val owned = record.owned ?: return
        if (record.cancelledMs > 0 || owned.revokedBy > 0) return
        val facts = record.spec.factsFor(owned.owner)
        val verdict = policies.policy.authorize(owned.owner, Action.SUBMIT, facts)
        if (verdict.allowed) return
        val cancels = policies.policy.cancelsOnDeny(owned.owner, Action.SUBMIT, facts) ?: owned.cancelOnRevoke
        val marked = record.copy(
            owned = owned.copy(revokedBy = pass.version),
            cancelledMs = if (cancels) ctx.time.wallMs else 0,
        )
        // The notes are the policy language's own words.
        val note = if (cancels) "withdraw" else "finish"
        val origin = RequestOrigin(owned.owner, "", "")
        val entry = entries.create(origin, "revoke", record.spec.id, verdict, 0, note)
        val guards = listOf(Guard(item.key, item.version), Guard(Keys.LEADER, term))
        pass.openWrites++
        auditLog.change(entry, StateOp.Txn(guards, listOf(Write.Put(item.key, marked)))) { result ->
            pass.openWrites--
            if (result is StateResult.Committed) {
                log.info(
                    "job's owner may not submit it any more job={} owner={} rule={} consequence={}",
                    record.spec.id,
                    owned.owner,
                    verdict.rule,
                    note,
                )
            } else {
                // Changed meanwhile, or the result is unknown: examined again in the next pass.
                pass.hasFailed = true
            }
            finishIfDone(term, pass)
        }
    }

    private fun finishIfDone(term: Long, pass: Pass) {
        if (!pass.isRead || pass.openWrites > 0 || !isBusy) return
        if (pass.hasFailed || term != epoch || policies.policy.version != pass.version) {
            isBusy = false
            scheduleRetry()
            return
        }
        val guards = listOf(Guard(Keys.LEADER, term), Guard(AccessKeys.HEAD, policies.stamp))
        val write = Write.Put(AccessKeys.APPLIED, RightsApplied(pass.version))
        ctx.out.state(StateOp.Txn(guards, listOf(write))) { result ->
            isBusy = false
            if (result is StateResult.Committed) appliedVersion = pass.version else scheduleRetry()
        }
    }

    private companion object {
        const val UNREAD = -1L
        const val PAGE_SIZE = 200
        const val RETRY_S = 0.5
    }
}
