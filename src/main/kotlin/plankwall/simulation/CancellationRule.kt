package plankwall.simulation

/** Rule on cancelled jobs: no task runs [cancelS] seconds after the cancellation was confirmed. */
internal class CancellationRule(
    private val cancelS: Double,
    private val tasks: RunningTasks,
    private val violations: MutableList<String>,
) {
    private val confirmedAt = HashMap<String, Double>()

    /** Cancelled jobs that may have a running task. */
    private val mayRun = LinkedHashSet<String>()

    /** Tasks whose start was commanded after the cancellation was confirmed; one commanded before may still start. */
    var startsAfterCancel = 0
        private set

    /** When the cancellation of [id] was confirmed first, or null. */
    fun confirmedAt(id: String): Double? = confirmedAt[id]

    /** An answer called the job cancelled. */
    fun onConfirmed(id: String, now: Double) {
        confirmedAt.putIfAbsent(id, now)
        mayRun.add(id)
    }

    /** A task of [id] has started. */
    fun onTaskStarted(id: String) {
        if (id in confirmedAt) mayRun.add(id)
    }

    /** A worker took the command to start a task of [id]. */
    fun onStartCommanded(id: String, now: Double) {
        if (confirmedAt[id]?.let { it < now } == true) startsAfterCancel++
    }

    /** Records the tasks that run longer after the cancellation than they may. */
    fun check(now: Double) {
        mayRun.removeIf { !tasks.isAnyOf(it) }
        for (id in mayRun) {
            if (now <= confirmedAt.getValue(id) + cancelS) continue
            tasks.ofJob(id).keys.forEach { violations.add("ran_cancelled: $it at $now") }
        }
    }
}
