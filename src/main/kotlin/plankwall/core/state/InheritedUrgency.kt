package plankwall.core.state

import plankwall.model.Priority

/**
 * Derives the urgency of a job, which is its priority and its deadline together, from the jobs that depend on it: a
 * stage of a pipeline is as important as the job that its user waits for, and must end early enough for the stages
 * after it. Changes propagate from a job to its dependencies, to their dependencies, and so on. Only this class changes
 * [Job.priority] and [Job.dueMs].
 */
internal class InheritedUrgency(
    val graph: DependencyGraph,
    private val fleet: Fleet,
    private val findJob: (String) -> Job?,
) {
    /**
     * Recomputes the priority and the deadline of [changedJob], and those of its dependencies as far as they change.
     */
    fun recompute(changedJob: Job) {
        val queue = ArrayDeque(listOf(changedJob))
        while (queue.isNotEmpty()) {
            val job = queue.removeFirst()
            val dependents = graph.dependentsOf(job.spec.id).mapNotNull(findJob).filter { !it.cancelled }
            val priority = effectivePriority(job, dependents)
            val dueMs = minOf(job.ownDueMs, dependents.minOfOrNull { startByMs(it) } ?: Long.MAX_VALUE)
            if (priority == job.priority && dueMs == job.dueMs) continue
            job.priority = priority
            job.dueMs = dueMs
            queue.addAll(job.spec.dependencies.mapNotNull(findJob))
        }
    }

    private fun effectivePriority(job: Job, dependents: List<Job>): Priority =
        dependents.maxOfOrNull { it.priority }?.let { maxOf(it, job.spec.priority) } ?: job.spec.priority

    /**
     * Raises the urgency of the jobs that [newDependent] depends on, directly or through others: their priority to at
     * least its own, and their deadline to be early enough for it. Adding a dependent never lowers the urgency of a
     * job, so the dependents that a job already had need not be considered again.
     */
    fun raiseDependenciesOf(newDependent: Job) {
        val queue = ArrayDeque(listOf(newDependent))
        while (queue.isNotEmpty()) {
            val job = queue.removeFirst()
            val startByMs = startByMs(job)
            for (dependency in job.spec.dependencies.mapNotNull(findJob)) {
                if (dependency.priority >= job.priority && dependency.dueMs <= startByMs) continue
                dependency.priority = maxOf(dependency.priority, job.priority)
                dependency.dueMs = minOf(dependency.dueMs, startByMs)
                queue.addLast(dependency)
            }
        }
    }

    /**
     * Returns the time by which [job] must start and its dependencies must have ended, in milliseconds of wall-clock
     * time; [Long.MAX_VALUE] if it has no deadline.
     */
    private fun startByMs(job: Job): Long =
        if (job.dueMs == Long.MAX_VALUE) Long.MAX_VALUE else job.dueMs - expectedDurationMs(job)

    /**
     * Returns how many milliseconds [job] should take from its start, including the fetch of its image on the slowest
     * machine type.
     */
    private fun expectedDurationMs(job: Job): Long {
        val fetchS = fleet.catalog?.types?.maxOfOrNull { it.fetchS(job.spec.imageGb) } ?: 0.0
        return ((job.spec.estimateS + fetchS) * 1000).toLong()
    }
}
