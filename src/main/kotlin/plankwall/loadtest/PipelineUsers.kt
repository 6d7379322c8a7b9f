package plankwall.loadtest

import plankwall.model.JobSpec

/**
 * Simulated users who submit pipelines: a job, and further ones of which each depends on the one before it. Some cancel
 * the first job while they still submit the others.
 *
 * @param newSpec returns the specification of a new job that depends on the given jobs
 * @param submit submits a job until it is accepted; the callback is called then
 * @param cancel cancels a job until that is confirmed
 */
internal class PipelineUsers(
    private val cluster: LoadTestCluster,
    private val newSpec: (dependencies: List<String>) -> JobSpec,
    private val submit: (spec: JobSpec, onAccepted: () -> Unit) -> Unit,
    private val cancel: (id: String) -> Unit,
) {
    /** Submits a new pipeline. */
    fun submitPipeline() {
        val first = newSpec(emptyList())
        val isCancelled = cluster.random.nextDouble() < cluster.plan.work.pipelineCancelShare
        submit(first) {
            if (isCancelled) cluster.clock.after(cluster.random.nextDouble() * MAX_CANCEL_DELAY_S) { cancel(first.id) }
            submitNext(first.id, LENGTH - 1)
        }
    }

    /** Submits [remaining] further jobs; the next one depends on [dependency]. */
    private fun submitNext(dependency: String, remaining: Int) {
        if (remaining == 0) return
        cluster.clock.after(cluster.random.nextDouble() * MAX_SUBMISSION_GAP_S) {
            val spec = newSpec(listOf(dependency))
            submit(spec) { submitNext(spec.id, remaining - 1) }
        }
    }

    private companion object {
        const val LENGTH = 5
        const val MAX_SUBMISSION_GAP_S = 0.8
        const val MAX_CANCEL_DELAY_S = 2.5
    }
}
