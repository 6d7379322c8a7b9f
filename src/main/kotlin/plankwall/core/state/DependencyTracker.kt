package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.model.JobStage
import plankwall.wire.FinalRecord
import plankwall.wire.Keys
import plankwall.wire.StateResult

/**
 * The leader's view of DAG dependencies: which jobs may start, and which are cancelled because a job that they depend
 * on was. A job is ready only once this leader has read or written a final record of each of its dependencies that says
 * it is done. A dependency that is not in [SchedulerState] is looked up in the store; until its final record can be
 * read, it does not count as done.
 *
 * Owns the leader's [DependencyGraph], [Job.hasDependents], and the inherited [Job.priority] and [Job.dueMs]. Stores
 * nothing.
 */
internal class DependencyTracker(
    private val ctx: Context,
    private val store: LeaderStore,
    private val inheritance: InheritedUrgency,
    private val findJob: (String) -> Job?,
    private val cancelJob: (job: Job, dependency: String) -> Unit,
    private val onReady: (Job) -> Unit,
) {
    private val log = LoggerFactory.getLogger("dependencies")

    /** Shared with [inheritance]. */
    private val graph = inheritance.graph

    /**
     * The dependencies of waiting jobs that are not in [SchedulerState], each with the time of its next lookup in
     * seconds of the monotonic clock.
     */
    private val pendingLookups = LinkedHashMap<String, Double>()
    private var readsUnderWay = 0

    /** Adds [job] along with its dependencies. If it has none, it is ready at once. */
    fun add(job: Job) {
        val id = job.spec.id
        pendingLookups.remove(id)
        if (graph.dependentsOf(id).isNotEmpty()) job.hasDependents = true
        val dependencyIds = job.spec.dependencies
        inheritance.recompute(job)
        if (dependencyIds.isEmpty()) {
            onReady(job)
            return
        }
        cancelAll(graph.add(id, dependencyIds), id)
        dependencyIds.mapNotNull(findJob).forEach { it.hasDependents = true }
        dependencyIds.filter { findJob(it) == null }.forEach { pendingLookups[it] = ctx.now }
        inheritance.raiseDependenciesOf(job)
    }

    /** Cancels the jobs that depend on [job], which was cancelled by its user or because of a dependency. */
    fun onCancelled(job: Job) {
        cancelAll(graph.markCancelled(job.spec.id), job.spec.id)
        // The job no longer raises the urgency of its dependencies. Those that are cancelled too need no update.
        job.spec.dependencies.mapNotNull(findJob).filter { !it.cancelled }.forEach(inheritance::recompute)
    }

    /**
     * Handles the end of the job [id] in [stage] according to its final record: makes ready the jobs that waited only
     * for it, or cancels those that depend on it. [endedMs] is 0 if an older release wrote the record.
     */
    fun onEnded(id: String, stage: JobStage, endedMs: Long) {
        pendingLookups.remove(id)
        if (stage == JobStage.DONE) {
            for (readyId in graph.markDone(id)) findJob(readyId)?.let { makeReady(it, id, endedMs) }
        } else {
            cancelAll(graph.markCancelled(id), id)
        }
        graph.forget(id)
    }

    private fun makeReady(job: Job, lastDependency: String, endedMs: Long) {
        job.readyMs = maxOf(job.readyMs, endedMs)
        log.info("job ready job={} last_dependency={}", job.spec.id, lastDependency)
        onReady(job)
    }

    private fun cancelAll(ids: List<String>, dependency: String) = ids.forEach { id ->
        findJob(id)?.let { cancelJob(it, dependency) }
    }

    /**
     * Looks up how dependencies ended that are not in [SchedulerState]: either they ended before this leader was
     * elected, or it has not read their job records yet.
     */
    fun tick() {
        if (pendingLookups.isEmpty()) return
        for ((id, lookUpAt) in pendingLookups.entries.toList()) {
            if (graph.dependentsOf(id).isEmpty()) pendingLookups.remove(id)
            if (ctx.now < lookUpAt || id !in pendingLookups) continue
            if (readsUnderWay >= MAX_READS_UNDER_WAY || !store.mayRead()) return
            pendingLookups[id] = ctx.now + RETRY_S
            lookUp(id)
        }
    }

    private fun lookUp(id: String) {
        readsUnderWay++
        store.read(Keys.final(id)) { result ->
            readsUnderWay--
            val finalRecord = (result as? StateResult.Item)?.item?.value as? FinalRecord
            if (finalRecord != null && id in pendingLookups) onEnded(id, finalRecord.stage, finalRecord.endedMs)
        }
    }

    private companion object {
        const val MAX_READS_UNDER_WAY = 20
        const val RETRY_S = 1.0
    }
}
