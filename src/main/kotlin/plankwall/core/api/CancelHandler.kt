package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.RequestId
import plankwall.wire.FinalRecord
import plankwall.wire.Guard
import plankwall.wire.JobCodec
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/** Cancels jobs on behalf of users. */
internal class CancelHandler(
    private val ctx: Context,
    private val admission: RequestAdmission,
    private val lookup: JobLookup,
    private val recordSize: JobRecordSize,
    private val views: JobViews,
) {
    private val log = LoggerFactory.getLogger("api")

    /**
     * Cancels job [id] and answers [request]. A job that is over or cancelled already is left unchanged, and its state
     * is the answer.
     */
    fun handle(request: RequestId, id: String, caller: Caller?) {
        lookup.cachedFinalRecord(id)?.let {
            answerEnded(admission.open(request, caller), id, it)
            return
        }
        val pending = admission.admit(request, 2, caller) ?: return
        cancel(pending, id, MAX_ATTEMPTS)
    }

    private fun cancel(pending: PendingRequest, id: String, attemptsLeft: Int) = lookup.lookUp(id) { found ->
        when (found) {
            JobLookupResult.Unreadable -> pending.rejectUnreadable()
            JobLookupResult.Absent -> answerUnknown(pending, id)
            is JobLookupResult.Final -> answerEnded(pending, id, found.record)
            is JobLookupResult.Live -> cancelLive(pending, id, found, attemptsLeft)
        }
    }

    private fun answerEnded(pending: PendingRequest, id: String, record: FinalRecord) {
        val requested = pending.authorize(Action.WITHDRAW, id, record.facts) ?: return
        pending.recordAndAnswer(requested, 200, views.ofEnded(id, record))
    }

    private fun answerUnknown(pending: PendingRequest, id: String) {
        val requested = pending.authorize(Action.WITHDRAW, id, null) ?: return
        pending.recordAndAnswer(requested, 404, JobCodec.error("no such job"))
    }

    private fun cancelLive(pending: PendingRequest, id: String, found: JobLookupResult.Live, attemptsLeft: Int) {
        val requested = pending.authorize(Action.WITHDRAW, id, found.facts) ?: return
        if (found.record.cancelledMs > 0) {
            pending.recordAndAnswer(requested, 200, views.ofCancelled(id))
            return
        }
        val guard = Guard(Keys.job(id), found.version)
        val txn = StateOp.Txn(listOf(guard), listOf(Write.Put(Keys.job(id), cancelledRecord(found.record))))
        pending.commit(requested, 200, txn) { result ->
            when {
                result is StateResult.Committed -> {
                    log.info("job cancelled by user job={}", id)
                    pending.answerJob(200, views.ofCancelled(id))
                }
                result is StateResult.Conflict && attemptsLeft > 1 -> cancel(pending, id, attemptsLeft - 1)
                else -> pending.rejectTemporarily("the state service did not confirm")
            }
        }
    }

    /**
     * Returns [record] marked as cancelled now. A record that was stored while the state service allowed larger values
     * has to be written all the same: if it no longer fits, the machine types and dependencies are left out, which only
     * a start of the job would need.
     */
    private fun cancelledRecord(record: JobRecord): JobRecord {
        val cancelled = record.copy(cancelledMs = ctx.time.wallMs)
        if (recordSize.fits(cancelled)) return cancelled
        log.info("cancelled job record trimmed job={} bytes={}", record.spec.id, StateCodec.sizeOf(cancelled))
        return cancelled.copy(spec = record.spec.copy(types = null, dependencies = emptyList()))
    }

    private companion object {
        /** Transactions tried for one request; another write of the job's record makes one fail. */
        const val MAX_ATTEMPTS = 3
    }
}
