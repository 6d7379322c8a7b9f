package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.RequestId
import plankwall.core.store.StoreLimits
import plankwall.model.JobSpec
import plankwall.model.factsFor
import plankwall.wire.AccessKeys
import plankwall.wire.Guard
import plankwall.wire.JobCodec
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.Ownership
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/** Handles submissions: checks a job and stores its record, which makes it an accepted job. */
internal class SubmitHandler(
    private val ctx: Context,
    private val admission: RequestAdmission,
    private val lookup: JobLookup,
    private val submissionCheck: SubmissionCheck,
    private val dependencyCheck: DependencyCheck,
    private val resubmissionResponder: ResubmissionResponder,
    private val views: JobViews,
) {
    private val log = LoggerFactory.getLogger("api")

    /** Accepts the job [spec] and answers [request], or rejects it with the reason. */
    fun handle(request: RequestId, spec: JobSpec, caller: Caller?) {
        lookup.cachedFinalRecord(spec.id)?.let {
            resubmissionResponder.answerEnded(admission.open(request, caller), spec.id, it)
            return
        }
        val pending = admission.admit(request, 1, caller) ?: return
        submit(pending, spec, MAX_ATTEMPTS)
    }

    private fun submit(pending: PendingRequest, spec: JobSpec, attemptsLeft: Int) {
        val verdict = pending.caller?.authorize(Action.SUBMIT, spec.factsFor(pending.caller.name))
        val requested = RequestedAction(Action.SUBMIT, spec.id, verdict)
        if (verdict?.allowed == false) {
            answerDenied(pending, requested)
            return
        }
        val owner = pending.caller?.let { Ownership(it.name, verdict?.cancelOnRevoke == true) }
        val record =
            JobRecord(spec, ctx.time.wallMs, 0, StoreLimits.pageSize(ctx.settings.strictestStateLimits.valueKb), owner)
        // Checked once, by the machine types known now. Types that become known during the look-up must not turn the
        // temporary rejection "not known yet" into the permanent one that the job can never run.
        val rejection = submissionCheck.rejectionOf(record)
        if (rejection != null) {
            reject(pending, requested, rejection)
            return
        }
        dependencyCheck.check(pending.caller, spec) { result ->
            if (result == DependencyCheckResult.Allowed) {
                storeRecord(pending, requested, record, attemptsLeft)
            } else {
                answerDependencyFailure(pending, requested, result)
            }
        }
    }

    /**
     * Answers a submission that the access policy denies. If the job was accepted before, it is treated as a repeated
     * submission, which the caller may be allowed although the job could not be submitted anew.
     */
    private fun answerDenied(pending: PendingRequest, requested: RequestedAction) =
        lookup.lookUp(requested.job) { found ->
            if (found == JobLookupResult.Absent) {
                val error = JobCodec.error("you may not submit ${requested.job}")
                pending.recordAndAnswer(requested, 403, error)
            } else {
                resubmissionResponder.answer(pending, requested.job, found)
            }
        }

    /**
     * Rejects a submission, unless the job was accepted before. An accepted job stays accepted, even if its submission
     * would be rejected now, and is answered with its state.
     */
    private fun reject(pending: PendingRequest, requested: RequestedAction, rejection: SubmissionRejection) =
        lookup.lookUp(requested.job) { found ->
            when {
                found != JobLookupResult.Absent -> resubmissionResponder.answer(pending, requested.job, found)
                rejection.status == 503 -> pending.rejectTemporarily(rejection.reason)
                else -> pending.recordAndAnswer(requested, rejection.status, JobCodec.error(rejection.reason))
            }
        }

    private fun answerDependencyFailure(
        pending: PendingRequest,
        requested: RequestedAction,
        result: DependencyCheckResult,
    ) = when (result) {
        DependencyCheckResult.Unreadable -> pending.rejectUnreadable()
        DependencyCheckResult.RateLimited -> pending.rejectRateLimited()
        is DependencyCheckResult.Denied -> {
            val rule = "awaits ${result.job}: ${result.verdict.rule}"
            val denied = RequestedAction(Action.SUBMIT, requested.job, result.verdict.copy(rule = rule))
            pending.recordAndAnswer(denied, 403, JobCodec.error("awaits: you may not show ${result.job}"))
        }
        is DependencyCheckResult.NeverAccepted ->
            reject(pending, requested, SubmissionRejection(422, "awaits: ${result.job} was never accepted"))
        DependencyCheckResult.Allowed -> error("an allowed dependency is no failure")
    }

    private fun storeRecord(pending: PendingRequest, requested: RequestedAction, record: JobRecord, attemptsLeft: Int) {
        val spec = record.spec
        val guards = listOf(Guard(Keys.job(spec.id), 0), Guard(Keys.final(spec.id), 0))
        val txn = StateOp.Txn(guards, listOf(Write.Put(Keys.job(spec.id), record)))
        pending.commit(requested, 201, txn) { result ->
            when {
                result is StateResult.Committed -> answerAccepted(pending, spec)
                isAccessPolicyConflict(result) -> if (attemptsLeft > 1) {
                    submit(pending, spec, attemptsLeft - 1)
                } else {
                    pending.rejectTemporarily("the rights change too often")
                }
                // The job was accepted before, or an earlier attempt of this submission was stored unconfirmed.
                result is StateResult.Conflict -> lookup.lookUp(spec.id) {
                    resubmissionResponder.answer(pending, spec.id, it)
                }
                result == StateResult.Rejected -> {
                    log.warn("job record rejected by store job={} bytes={}", spec.id, StateCodec.sizeOf(record))
                    // The state service checks the size before the guards, so the job may exist all the same: accepted
                    // by an earlier submission, while larger values were allowed.
                    reject(pending, requested, SubmissionRejection.TOO_LARGE)
                }
                else -> pending.rejectTemporarily("the state service did not confirm")
            }
        }
    }

    private fun answerAccepted(pending: PendingRequest, spec: JobSpec) {
        log.info("job accepted job={} tasks={} class={} team={}", spec.id, spec.tasks, spec.jobClass, spec.team)
        if (spec.dependencies.isNotEmpty()) {
            log.info("job waits for dependencies job={} dependencies={}", spec.id, spec.dependencies)
        }
        pending.answerJob(201, views.ofPending(spec.id))
    }

    /**
     * Whether the record was not stored because the access policy that allowed the submission has been replaced since.
     * The submission has to be authorized again then.
     */
    private fun isAccessPolicyConflict(result: StateResult): Boolean =
        result is StateResult.Conflict && AccessKeys.HEAD in result.failed

    private companion object {
        /** Attempts for one request; each but the first follows a replacement of the access policy. */
        const val MAX_ATTEMPTS = 3
    }
}
