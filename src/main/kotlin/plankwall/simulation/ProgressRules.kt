package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Shape

/** Rules on progress: polls are answered, and no job waits beside free machines once all faults are over. */
internal class ProgressRules(
    private val tasks: RunningTasks,
    private val jobs: JobHistory,
    private val placement: PlacementRules,
    private val violations: MutableList<String>,
) {
    /** From when on all faults are over: each job by itself has to be answered then, however others fare. */
    var faultsOverAt = Double.POSITIVE_INFINITY

    private val stallingSince = HashMap<String, Double>()
    private val unansweredSince = HashMap<String, Double>()
    private var lastAnswerAt = Double.NEGATIVE_INFINITY

    /** [machines]: the healthy and reachable ones, with the capacity of each. */
    fun checkStalled(machines: Map<SimulatedWorker, Resources>, now: Double) {
        if (now < faultsOverAt) return
        val used = HashMap<SimulatedWorker, Resources>()
        tasks.all.forEach { used.merge(it.worker, it.spec.need, Resources::plus) }
        for ((id, spec) in jobs.accepted) {
            val couldStart = isWaiting(spec) &&
                placement.isUnderQuota(spec) &&
                machines.any { (worker, capacity) ->
                    placement.canRun(spec, worker, capacity - (used[worker] ?: Resources.NONE))
                }
            if (!couldStart) {
                stallingSince.remove(id)
            } else if (now - stallingSince.getOrPut(id) { now } > STALLED_S) {
                violations.add("stalled: $id has waited from ${stallingSince[id]} to $now beside room for it")
                stallingSince[id] = now
            }
        }
    }

    private fun isWaiting(spec: JobSpec): Boolean {
        val id = spec.id
        return jobs.finalStage(id) == null &&
            !jobs.isCancelRequested(id) &&
            spec.dependencies.all { jobs.isDone(it) } &&
            (0 until spec.tasks).any { !jobs.isCompleted("$id/$it") && "$id/$it" !in tasks } &&
            (spec.shape != Shape.GANG || !tasks.isAnyOf(id))
    }

    /** A poll was answered in time or not; while no poll of any job is answered, that is an outage. */
    fun onPollEnded(id: String, answered: Boolean, now: Double) {
        if (answered) {
            lastAnswerAt = now
            unansweredSince.remove(id)
        } else if (now - maxOf(unansweredSince.getOrPut(id) { now }, faultsOverAt) > UNANSWERED_AFTER_FAULTS_S) {
            violations.add(
                "forgotten: no question about $id was answered from ${unansweredSince[id]} to $now, troubles over",
            )
            unansweredSince[id] = now
        } else if (now - lastAnswerAt > OUTAGE_S && faultsOverAt > now) {
            unansweredSince.clear()
        } else if (now - unansweredSince.getOrPut(id) { now } > UNANSWERED_S) {
            violations.add("forgotten: no poll for $id was answered from ${unansweredSince[id]} to $now")
            unansweredSince[id] = now
        }
    }

    private companion object {
        const val UNANSWERED_S = 90.0
        const val UNANSWERED_AFTER_FAULTS_S = 75.0
        const val STALLED_S = 90.0
        const val OUTAGE_S = 5.0
    }
}
