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
 * Applies a new policy to jobs that were accepted under an older one. The leader examines all live jobs once for each
 * version of the policy. It marks a job whose owner may not submit it any more with that version, and cancels it if the
 * denying rule says so or, where that rule does not say, the rule that allowed the job. The job and its audit entry are
 * written in one transaction. Once all jobs were examined, the version is stored as applied. A new leader that finds a
 * version not applied examines all jobs again, but skips those that are marked or cancelled.
 */
internal class RevocationTask(
    private val ctx: Context,
    private val policies: PolicyStore,
    private val auditLog: AuditLogWriter,
    private val entryFactory: AuditEntryFactory,
) {
    /** The epoch of the leadership term that [appliedVersion] was read in. */
    private var epoch = 0L

    /** The newest policy version that the store names as applied; [UNREAD] until it was read in this term. */
    private var appliedVersion = UNREAD
    private var isBusy = false
    private var retryAt = 0.0

    /** Starts a pass if the policy is newer than the applied version. [authority]: null if this node does not lead. */
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

    /** The progress of one examination of all live jobs under policy [version]. */
    private class Pass(val version: Long) {
        /** The number of transactions that the store has not answered yet. */
        var openWrites = 0

        /** Whether no more pages of jobs are to be read, also when reading one failed. */
        var isReadingDone = false

        /** Whether a page or a job could not be read or written, so that another pass is needed. */
        var hasFailed = false
    }

    /** Examines the jobs behind key [after], page by page; null: from the first job on. [term]: the pass's epoch. */
    private fun examinePage(term: Long, after: String?, pass: Pass): Unit =
        ctx.out.state(StateOp.Range(Keys.JOBS, after, PAGE_SIZE)) { result ->
            if (result !is StateResult.Items || term != epoch) {
                pass.hasFailed = true
                pass.isReadingDone = true
                finishIfDone(term, pass)
                return@state
            }
            result.items.forEach { examineJob(term, it, pass) }
            if (result.more && result.items.isNotEmpty()) {
                examinePage(term, result.items.last().key, pass)
            } else {
                pass.isReadingDone = true
                finishIfDone(term, pass)
            }
        }

    /** Marks the job in [item], or cancels it, if its owner may not submit it any more. */
    private fun examineJob(term: Long, item: StateItem, pass: Pass) {
        val record = item.value as? JobRecord ?: return
        val ownership = record.ownership ?: return
        if (record.cancelledMs > 0 || ownership.revokedBy > 0) return
        val facts = record.spec.factsFor(ownership.owner)
        val verdict = policies.policy.authorize(ownership.owner, Action.SUBMIT, facts)
        if (verdict.allowed) return
        val cancelsJob =
            policies.policy.cancelsOnDeny(ownership.owner, Action.SUBMIT, facts) ?: ownership.cancelOnRevoke
        val marked = record.copy(
            ownership = ownership.copy(revokedBy = pass.version),
            cancelledMs = if (cancelsJob) ctx.time.wallMs else 0,
        )
        // The note is the keyword of the policy language for this consequence.
        val note = if (cancelsJob) "withdraw" else "finish"
        val origin = RequestOrigin(ownership.owner, "", "")
        val entry = entryFactory.create(origin, "revoke", record.spec.id, verdict, 0, note)
        val guards = listOf(Guard(item.key, item.version), Guard(Keys.LEADER, term))
        pass.openWrites++
        auditLog.change(entry, StateOp.Txn(guards, listOf(Write.Put(item.key, marked)))) { result ->
            pass.openWrites--
            if (result is StateResult.Committed) {
                log.info(
                    "job's owner may not submit it any more job={} owner={} rule={} consequence={}",
                    record.spec.id,
                    ownership.owner,
                    verdict.rule,
                    note,
                )
            } else {
                // The job has been changed since it was read, or the result is unknown: the next pass examines it
                // again.
                pass.hasFailed = true
            }
            finishIfDone(term, pass)
        }
    }

    /** Stores [pass]'s version as applied once all jobs were examined, or schedules another pass if any failed. */
    private fun finishIfDone(term: Long, pass: Pass) {
        if (!pass.isReadingDone || pass.openWrites > 0 || !isBusy) return
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
