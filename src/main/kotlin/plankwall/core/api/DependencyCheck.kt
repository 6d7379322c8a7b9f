package plankwall.core.api

import plankwall.core.statemachine.Action
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Verdict
import plankwall.model.JobFacts
import plankwall.model.JobSpec

/** Whether a job may depend on the jobs that it names. */
internal sealed interface DependencyCheckResult {
    /** All dependencies were accepted, and the caller may see them. */
    data object Allowed : DependencyCheckResult

    /** The state service could not be read. */
    data object Unreadable : DependencyCheckResult

    /** The reads that the check needs exceed the rate limit. */
    data object RateLimited : DependencyCheckResult

    /** The caller may not see [job], by [verdict]. */
    class Denied(val job: String, val verdict: Verdict) : DependencyCheckResult

    /** [job] was never accepted. */
    class NeverAccepted(val job: String) : DependencyCheckResult
}

/** Checks the dependencies of submitted jobs. */
internal class DependencyCheck(
    private val jobCache: JobCache,
    private val lookup: JobLookup,
    private val admission: RequestAdmission,
) {
    /**
     * Checks the dependencies of [spec], which [caller] submits. This node's cache may be behind an acceptance by
     * another node, so a job counts as never accepted only after reads that began later than the request: one of the
     * live jobs, shared with all requests that wait for it, then one of the final record of each that is not live.
     */
    fun check(caller: Caller?, spec: JobSpec, onResult: (DependencyCheckResult) -> Unit) {
        if (lookup.notKnownAccepted(spec.dependencies).isEmpty()) {
            onResult(checkVisible(caller, spec, neverAccepted = emptyList()))
            return
        }
        jobCache.whenFresh { fresh ->
            val unknown = lookup.notKnownAccepted(spec.dependencies)
            when {
                !fresh -> onResult(DependencyCheckResult.Unreadable)
                !admission.tryTakeOrBorrow(unknown.size) -> onResult(DependencyCheckResult.RateLimited)
                else -> lookup.readFinals(unknown) { absent ->
                    onResult(
                        if (absent == null) DependencyCheckResult.Unreadable else checkVisible(caller, spec, absent),
                    )
                }
            }
        }
    }

    /**
     * Depending on a job reveals when and how it ends, so it requires the right to see it. Its owner is not asked:
     * whoever lets a job depend on another's accepts that it is cancelled with it.
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

    private fun factsOf(id: String): JobFacts? = lookup.knownFinal(id)?.facts ?: jobCache.factsOf(id)
}
