package plankwall.simulation

import plankwall.model.JobSpec

/**
 * The events of each job that users and workers have observed: acceptance, completed tasks, cancellation requests,
 * final stage.
 */
internal class JobHistory {
    private class FinalStage(val stage: String, val reportedAt: Double)

    private val acceptedAt = HashMap<String, Double>()
    private val completedTasks = HashSet<String>()
    private val cancelRequests = HashSet<String>()
    private val finalStages = HashMap<String, FinalStage>()

    /** The accepted jobs as last submitted, by id. */
    val accepted = HashMap<String, JobSpec>()

    /** Records that [spec] was accepted at [now]; the time of the first acceptance is kept. */
    fun accept(spec: JobSpec, now: Double) {
        accepted[spec.id] = spec
        acceptedAt.putIfAbsent(spec.id, now)
    }

    /** Returns when the job [id] was first accepted, or null if it was not. */
    fun acceptedAt(id: String): Double? = acceptedAt[id]

    /** Returns whether the job [id] had been accepted at [time] or earlier. */
    fun isAcceptedAt(id: String, time: Double): Boolean = acceptedAt[id]?.let { it <= time } ?: false

    /** Records that [task] has run to its end. */
    fun completeTask(task: String) {
        completedTasks.add(task)
    }

    /** Returns whether [task] has run to its end. */
    fun isCompleted(task: String): Boolean = task in completedTasks

    /** Returns whether the job [id] was accepted and all of its tasks have completed. */
    fun isDone(id: String): Boolean =
        accepted[id]?.let { spec -> (0 until spec.tasks).all { isCompleted("$id/$it") } } ?: false

    /** Records that a user asked to cancel the job [id]. */
    fun requestCancel(id: String) {
        cancelRequests.add(id)
    }

    /** Returns whether a user asked to cancel the job [id]. */
    fun isCancelRequested(id: String): Boolean = id in cancelRequests

    /** Returns the final stage of the job [id], `done` or `withdrawn`, or null while no answer has reported one. */
    fun finalStage(id: String): String? = finalStages[id]?.stage

    /** Returns when an answer first reported the final stage; the job [id] must have one. */
    fun finalStageAt(id: String): Double = finalStages.getValue(id).reportedAt

    /** Records the final stage of the job [id]; only the first call for a job has an effect. */
    fun setFinalStage(id: String, stage: String, now: Double) {
        finalStages.putIfAbsent(id, FinalStage(stage, now))
    }

    /** Returns the ids of the jobs that [id] depends on, directly or through other jobs. */
    fun requiredJobs(id: String): Set<String> {
        val found = LinkedHashSet<String>()
        val toVisit = ArrayDeque(listOf(id))
        while (toVisit.isNotEmpty()) {
            accepted[toVisit.removeFirst()]?.dependencies.orEmpty().filter { found.add(it) }.forEach(toVisit::addLast)
        }
        return found
    }
}
