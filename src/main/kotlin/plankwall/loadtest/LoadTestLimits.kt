package plankwall.loadtest

/** Checks, before anything is started, that this machine has enough resources for a load test. */
object LoadTestLimits {
    /**
     * Throws [InvalidLoadTestPlanException] if [plan] needs more open files, memory or processes than allowed.
     *
     * @param openFiles the limit of open files of one process
     * @param memoryMb the memory of this machine in MB, of which a load test may use half
     */
    fun check(
        plan: LoadTestPlan,
        openFiles: Long = ProcReader.openFilesLimit(),
        memoryMb: Long = ProcReader.totalMemoryMb(),
    ) {
        val neededFiles = countNeededFiles(plan)
        if (neededFiles > openFiles) {
            throw InvalidLoadTestPlanException(
                "needs $neededFiles open files, but this process may open $openFiles: use fewer workers or controllers",
            )
        }
        if (plan.maxConnections > openFiles) {
            throw InvalidLoadTestPlanException(
                "max_connections ${plan.maxConnections}: a process may open only $openFiles files",
            )
        }
        val neededMb = plan.controllers * plan.memoryMb + SIMULATION_MB + plan.workers * MB_PER_WORKER
        if (neededMb > memoryMb / 2) {
            throw InvalidLoadTestPlanException(
                "needs %.0f MB, but half of this machine's memory is %d MB: use fewer workers or controllers".format(
                    neededMb,
                    memoryMb / 2,
                ),
            )
        }
        if (plan.controllers > MAX_PROCESSES) {
            throw InvalidLoadTestPlanException(
                "${plan.controllers} controllers: at most $MAX_PROCESSES processes are allowed",
            )
        }
    }

    private fun countNeededFiles(plan: LoadTestPlan): Long {
        // Each worker has a listener and a connection. Each link from one controller to another has a proxy with a
        // listener and its ends of two connections: to the sender and to the receiver.
        val workerFiles = plan.workers * 2L
        val linkFiles = plan.controllers * (plan.controllers - 1L) * FILES_PER_LINK
        val controllerFiles = plan.controllers * FILES_PER_CONTROLLER
        return workerFiles + linkFiles + controllerFiles + SPARE_FILES
    }

    private const val FILES_PER_LINK = 3L

    /**
     * This process's ends of a controller's connections: its calls to the state service, the cloud and the workers, and
     * the users' calls to it.
     */
    private const val FILES_PER_CONTROLLER = 100L
    private const val SPARE_FILES = 500L

    /** The memory of this process, without that of the workers. */
    private const val SIMULATION_MB = 600.0
    private const val MB_PER_WORKER = 0.3
    private const val MAX_PROCESSES = 200
}
