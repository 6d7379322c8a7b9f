package plankwall.simulation

/** Rule on cancelled jobs: no task of a job runs any more [cancelS] seconds after its cancellation was confirmed. */
internal class CancellationRule(
    private val cancelS: Double,
    private val tasks: RunningTasks,
    private val violations: MutableList<String>,
) {
    /** The time at which the cancellation of a job was first confirmed, by job id. */
    private val confirmedAt = HashMap<String, Double>()

    /** Ids of the cancelled jobs that may still have a running task. */
    private val possiblyRunning = LinkedHashSet<String>()

    /**
     * The number of start commands executed after the cancellation of the job was confirmed. A task whose start was
     * commanded before may still begin to run afterwards and is not counted.
     */
    var startsAfterCancel = 0
        private set

    /** Returns when the cancellation of the job [id] was first confirmed, or null if it was not. */
    fun confirmedAt(id: String): Double? = confirmedAt[id]

    /** Records that an answer called the job [id] cancelled. */
    fun onConfirmed(id: String, now: Double) {
        confirmedAt.putIfAbsent(id, now)
        possiblyRunning.add(id)
    }

    /** Records that a task of the job [id] has begun to run. */
    fun onTaskStarted(id: String) {
        if (id in confirmedAt) possiblyRunning.add(id)
    }

    /** Records that a worker executed the command to start a task of the job [id]. */
    fun onStartCommanded(id: String, now: Double) {
        if (confirmedAt[id]?.let { it < now } == true) startsAfterCancel++
    }

    /** Records a violation for each task that runs longer after the cancellation than it may. */
    fun check(now: Double) {
        possiblyRunning.removeIf { !tasks.hasTasksOf(it) }
        for (id in possiblyRunning) {
            if (now <= confirmedAt.getValue(id) + cancelS) continue
            tasks.placementsOf(id).keys.forEach { violations.add("ran_cancelled: $it at $now") }
        }
    }
}
