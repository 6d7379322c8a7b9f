package plankwall.core.api

import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Verdict
import plankwall.model.JobFacts
import plankwall.model.JobSpec

/** The result of checking whether a submitted job may depend on the jobs that it names. */
internal sealed interface DependencyCheckResult {
    /** All dependencies were accepted, and the caller may see them. */
    data object Allowed : DependencyCheckResult

    /** The state service could not be read. */
    data object Unreadable : DependencyCheckResult

    /** The reads that the check needs exceed the rate limit. */
    data object RateLimited : DependencyCheckResult

    /** The access policy does not let the caller see the dependency [job]; [verdict] names the rule. */
    class Denied(val job: String, val verdict: Verdict) : DependencyCheckResult

    /** The dependency [job] was never accepted. */
    class NeverAccepted(val job: String) : DependencyCheckResult
}

/** Checks the dependencies of submitted jobs. */
internal class DependencyCheck(
    private val jobCache: JobCache,
    private val lookup: JobLookup,
    private val admission: RequestAdmission,
) {
    /**
     * Checks the dependencies of [spec], which [caller] submits; [caller] is null without access control. This node's
     * cache may lag behind an acceptance by another node, so a job counts as never accepted only after two reads that
     * began after the request: of the live jobs, shared by all requests that wait for it, and then of the final record
     * of each dependency that is not live.
     */
    fun check(caller: Caller?, spec: JobSpec, onResult: (DependencyCheckResult) -> Unit) {
        if (lookup.notKnownAccepted(spec.dependencies).isEmpty()) {
            onResult(checkVisible(caller, spec, neverAccepted = emptyList()))
            return
        }
        jobCache.whenFresh { fresh ->
            val unknownIds = lookup.notKnownAccepted(spec.dependencies)
            when {
                !fresh -> onResult(DependencyCheckResult.Unreadable)
                !admission.tryTakeOrBorrowCalls(unknownIds.size) -> onResult(DependencyCheckResult.RateLimited)
                else -> lookup.readFinalRecords(unknownIds) { absent ->
                    onResult(
                        if (absent == null) DependencyCheckResult.Unreadable else checkVisible(caller, spec, absent),
                    )
                }
            }
        }
    }

    /**
     * Checks that [caller] may see each dependency of [spec], since depending on a job reveals when and how it ends.
     * The dependency's owner need not consent: a user whose job depends on another user's job accepts that it is
     * cancelled together with that job. [neverAccepted]: the dependencies that turned out never to have been accepted.
     */
    private fun checkVisible(caller: Caller?, spec: JobSpec, neverAccepted: List<String>): DependencyCheckResult {
        if (caller != null) {
            val verdicts = spec.dependencies.map { it to caller.authorize(Action.SHOW, factsOf(it)) }
            verdicts.find { (_, verdict) -> !verdict.allowed }?.let { (job, verdict) ->
                return DependencyCheckResult.Denied(job, verdict)
            }
        }
        return neverAccepted.firstOrNull()?.let { DependencyCheckResult.NeverAccepted(it) }
            ?: DependencyCheckResult.Allowed
    }

    private fun factsOf(id: String): JobFacts? = lookup.cachedFinalRecord(id)?.facts ?: jobCache.factsOf(id)
}
