package plankwall.loadtest

/** What a run takes of this machine, worked out before anything is started. */
object LoadTestLimits {
    /** Throws [InvalidLoadTestPlanException] where [plan] does not fit. */
    fun check(
        plan: LoadTestPlan,
        openFiles: Long = ProcReader.openFilesLimit(),
        memoryMb: Long = ProcReader.totalMemoryMb(),
    ) {
        val files = filesFor(plan)
        if (files > openFiles) {
            throw InvalidLoadTestPlanException(
                "needs $files open files, this process may have $openFiles: fewer workers or controllers",
            )
        }
        if (plan.maxConnections > openFiles) {
            throw InvalidLoadTestPlanException(
                "max_connections ${plan.maxConnections}: a process may have $openFiles open files",
            )
        }
        val needMb = plan.controllers * plan.memoryMb + STAND_INS_MB + plan.workers * WORKER_MB
        if (needMb > memoryMb / 2) {
            throw InvalidLoadTestPlanException(
                "needs %.0f MB, half of this machine's memory is %d MB: fewer workers or controllers".format(
                    needMb,
                    memoryMb / 2,
                ),
            )
        }
        if (plan.controllers > MAX_PROCESSES) {
            throw InvalidLoadTestPlanException("${plan.controllers} controllers: at most $MAX_PROCESSES processes")
        }
    }

    private fun filesFor(plan: LoadTestPlan): Long {
        // Each worker listens and has a connection; each link between controllers has a listener and two ends.
        val workers = plan.workers * 2L
        val links = plan.controllers * (plan.controllers - 1L) * FILES_PER_LINK
        val doors = plan.controllers * FILES_PER_CONTROLLER
        return workers + links + doors + SPARE_FILES
    }

    private const val FILES_PER_LINK = 3L

    /** The ends of a controller's calls of the state service, the cloud and the workers, and of its users' calls. */
    private const val FILES_PER_CONTROLLER = 100L
    private const val SPARE_FILES = 500L
    private const val STAND_INS_MB = 600.0
    private const val WORKER_MB = 0.3
    private const val MAX_PROCESSES = 200
}
