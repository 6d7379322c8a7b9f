package plankwall.core.state

import plankwall.model.Priority

/**
 * Priority and deadline of a job follow from those that depend on it: a stage of a pipeline counts as much as the job
 * that its user waits for, and must be over early enough for what comes after it. Changes travel up the chain of
 * dependencies. Only this class changes [Job.priority] and [Job.dueMs].
 */
internal class InheritedUrgency(
    val graph: DependencyGraph,
    private val fleet: Fleet,
    private val find: (String) -> Job?,
) {
    /** Works out priority and deadline of [start] anew, and of what it depends on as far as they change. */
    fun recompute(start: Job) {
        val next = ArrayDeque(listOf(start))
        while (next.isNotEmpty()) {
            val job = next.removeFirst()
            val dependents = graph.dependentsOf(job.spec.id).mapNotNull(find).filter { !it.cancelled }
            val priority = effectivePriority(job, dependents)
            val dueMs = minOf(job.ownDueMs, dependents.minOfOrNull { startByMs(it) } ?: Long.MAX_VALUE)
            if (priority == job.priority && dueMs == job.dueMs) continue
            job.priority = priority
            job.dueMs = dueMs
            next.addAll(job.spec.dependencies.mapNotNull(find))
        }
    }

    private fun effectivePriority(job: Job, dependents: List<Job>): Priority =
        dependents.maxOfOrNull { it.priority }?.let { maxOf(it, job.spec.priority) } ?: job.spec.priority

    /**
     * What [start] depends on gets at least its urgency. One more dependent can only raise, so no others are looked at.
     */
    fun raiseDependenciesOf(start: Job) {
        val next = ArrayDeque(listOf(start))
        while (next.isNotEmpty()) {
            val job = next.removeFirst()
            val startByMs = startByMs(job)
            for (dependency in job.spec.dependencies.mapNotNull(find)) {
                if (dependency.priority >= job.priority && dependency.dueMs <= startByMs) continue
                dependency.priority = maxOf(dependency.priority, job.priority)
                dependency.dueMs = minOf(dependency.dueMs, startByMs)
                next.addLast(dependency)
            }
        }
    }

    /** By when [job] must start: what it depends on must be over by then. */
    private fun startByMs(job: Job): Long =
        if (job.dueMs == Long.MAX_VALUE) Long.MAX_VALUE else job.dueMs - expectedDurationMs(job)

    /** How long [job] should take from its start, the fetch of its image included. */
    private fun expectedDurationMs(job: Job): Long {
        val fetchS = fleet.catalog?.types?.maxOfOrNull { it.fetchS(job.spec.imageGb) } ?: 0.0
        return ((job.spec.estimateS + fetchS) * 1000).toLong()
    }
}
