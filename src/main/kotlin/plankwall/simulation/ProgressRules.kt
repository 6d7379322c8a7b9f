package plankwall.simulation

import plankwall.model.JobSpec
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * Rules on progress: polls are answered, and once all faults are over no job waits while a machine is free for it.
 * Times are in seconds of virtual time.
 */
internal class ProgressRules(
    private val tasks: RunningTasks,
    private val jobs: JobHistory,
    private val placement: PlacementRules,
    private val violations: MutableList<String>,
) {
    /** The time from which on no fault is injected any more, see [RuleChecker.faultsOverAt]. */
    var faultsOverAt = Double.POSITIVE_INFINITY

    /** The time since which each waiting job could have started without interruption, by job id. */
    private val startableSince = HashMap<String, Double>()

    /** The time since which no poll of a job has been answered, by job id. */
    private val unansweredSince = HashMap<String, Double>()

    /** The time at which a poll of any job was last answered. */
    private var lastAnswerAt = Double.NEGATIVE_INFINITY

    /**
     * Records each job that has waited for more than [STALLED_S] although it could have started. [machines] holds the
     * healthy and reachable machines with the capacity of each.
     */
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
                startableSince.remove(id)
            } else if (now - startableSince.getOrPut(id) { now } > STALLED_S) {
                violations.add("stalled: $id has waited from ${startableSince[id]} to $now beside free resources")
                startableSince[id] = now
            }
        }
    }

    /**
     * Whether a task of the job has yet to start and nothing holds it back; a gang waits only while none of it runs.
     */
    private fun isWaiting(spec: JobSpec): Boolean {
        val id = spec.id
        return jobs.finalStage(id) == null &&
            !jobs.isCancelRequested(id) &&
            spec.dependencies.all { jobs.isDone(it) } &&
            (0 until spec.tasks).any { !jobs.isCompleted("$id/$it") && "$id/$it" !in tasks } &&
            (spec.shape != Shape.GANG || !tasks.hasTasksOf(id))
    }

    /**
     * Records whether a poll of the job [id] was [answered] in time, and a violation where none was for too long.
     * Before [faultsOverAt], a time in which no poll of any job is answered is an outage and does not count.
     */
    fun onPollEnded(id: String, answered: Boolean, now: Double) {
        if (answered) {
            lastAnswerAt = now
            unansweredSince.remove(id)
        } else if (now - maxOf(unansweredSince.getOrPut(id) { now }, faultsOverAt) > UNANSWERED_AFTER_FAULTS_S) {
            violations.add(
                "forgotten: no poll for $id was answered from ${unansweredSince[id]} to $now, after all faults",
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
        /**
         * The maximum time that the polls of one job may go unanswered while those of others are answered, in seconds.
         */
        const val UNANSWERED_S = 90.0

        /**
         * The maximum time that the polls of one job may go unanswered after the last fault, in seconds, whatever
         * happens to other jobs.
         */
        const val UNANSWERED_AFTER_FAULTS_S = 75.0

        /** The maximum time that a job may wait while enough resources for it are free, in seconds. */
        const val STALLED_S = 90.0

        /**
         * The time without an answered poll of any job, in seconds, after which failed polls are attributed to an
         * outage.
         */
        const val OUTAGE_S = 5.0
    }
}
