package plankwall.simulation

import plankwall.model.JobSpec

/** What was accepted, completed and reported so far, as users and workers saw it. */
internal class JobHistory {
    private class FinalStage(val stage: String, val at: Double)

    private val acceptedAt = HashMap<String, Double>()
    private val completedTasks = HashSet<String>()
    private val cancelRequests = HashSet<String>()
    private val finalStages = HashMap<String, FinalStage>()

    /** The jobs that were accepted. */
    val accepted = HashMap<String, JobSpec>()

    /** Notes that [spec] was accepted at [now]; the first acceptance counts. */
    fun accept(spec: JobSpec, now: Double) {
        accepted[spec.id] = spec
        acceptedAt.putIfAbsent(spec.id, now)
    }

    /** When the job was accepted first, or null. */
    fun acceptedAt(id: String): Double? = acceptedAt[id]

    /** Whether the job was accepted by [time]. */
    fun isAcceptedBy(id: String, time: Double): Boolean = acceptedAt[id]?.let { it <= time } ?: false

    fun completeTask(task: String) {
        completedTasks.add(task)
    }

    fun isCompleted(task: String): Boolean = task in completedTasks

    /** Whether all tasks of an accepted job have completed. */
    fun isDone(id: String): Boolean =
        accepted[id]?.let { spec -> (0 until spec.tasks).all { isCompleted("$id/$it") } } ?: false

    fun requestCancel(id: String) {
        cancelRequests.add(id)
    }

    fun isCancelRequested(id: String): Boolean = id in cancelRequests

    /** `done` or `withdrawn` once an answer said so. */
    fun finalStage(id: String): String? = finalStages[id]?.stage

    /** When an answer first gave the final stage; the job must have one. */
    fun finalStageAt(id: String): Double = finalStages.getValue(id).at

    /** Notes the first final stage that an answer gave. */
    fun setFinalStage(id: String, stage: String, now: Double) {
        finalStages.putIfAbsent(id, FinalStage(stage, now))
    }

    /** The jobs that [id] depends on, directly or through others. */
    fun requiredJobs(id: String): Set<String> {
        val found = LinkedHashSet<String>()
        val next = ArrayDeque(listOf(id))
        while (next.isNotEmpty()) {
            accepted[next.removeFirst()]?.dependencies.orEmpty().filter { found.add(it) }.forEach(next::addLast)
        }
        return found
    }
}
