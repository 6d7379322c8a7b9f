package plankwall.model

/**
 * One service-level objective of a job class: the [share] of its jobs for which [kind] has to hold. [withinS]: of
 * starts and ends, in seconds; [times]: of deadlines, how many times the job's own time it may take.
 */
data class Objective(
    val kind: String,
    val jobClass: String?,
    val withinS: Double,
    val share: Double,
    val times: Double = 1.0,
)

/**
 * The service-level objectives of each job class (`objectives` in the platform's settings). They distinguish latency-
 * sensitive jobs from best-effort jobs; where none is stated, no class is best-effort.
 */
class ServiceLevelObjectives(objectives: List<Objective>) {
    private val byClass: Map<String, List<Objective>> =
        objectives.filter { it.jobClass != null }.groupBy { it.jobClass.orEmpty() }

    /** The job classes that have objectives. */
    val classes: Set<String> get() = byClass.keys

    /** Whether there is an objective for jobs of [jobClass], or none for any class. */
    fun isStated(jobClass: String): Boolean = byClass.isEmpty() || jobClass in byClass

    /** Within how many seconds all tasks of such a job should have started; null without such an objective. */
    fun startWithinS(jobClass: String): Double? = tightest(jobClass, "wait")

    /** Within how many seconds such a job should be done; null without such an objective. */
    fun finishWithinS(jobClass: String): Double? = tightest(jobClass, "finished")

    /** The longest time, in seconds, after which a start still meets an objective. */
    fun lastStartWithinS(jobClass: String): Double? = loosest(jobClass, "wait")

    /** The longest time, in seconds, after which an end still meets an objective. */
    fun lastFinishWithinS(jobClass: String): Double? = loosest(jobClass, "finished")

    /** How many times its own time a job with a deadline may take and still meet an objective. */
    fun lastDeadlineTimes(jobClass: String): Double = stated(jobClass, "deadline").maxOfOrNull { it.times } ?: 1.0

    private fun tightest(jobClass: String, kind: String): Double? = stated(jobClass, kind).minOfOrNull { it.withinS }

    private fun loosest(jobClass: String, kind: String): Double? = stated(jobClass, kind).maxOfOrNull { it.withinS }

    private fun stated(jobClass: String, kind: String): List<Objective> =
        byClass[jobClass].orEmpty().filter { it.kind == kind }
}
