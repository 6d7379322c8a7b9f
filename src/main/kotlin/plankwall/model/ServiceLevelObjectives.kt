package plankwall.model

/**
 * One service-level objective.
 *
 * @property kind what the objective bounds: `wait`, `finished` or `deadline`
 * @property jobClass the job class to which it applies; null if it is not about one class
 * @property withinS for starts (`wait`) and ends (`finished`), the seconds within which they have to happen
 * @property share the share of the jobs that have to meet the objective
 * @property times for `deadline`, the multiple of the time until its own deadline that a job may take
 */
data class Objective(
    val kind: String,
    val jobClass: String?,
    val withinS: Double,
    val share: Double,
    val times: Double = 1.0,
)

/**
 * The service-level objectives by job class (`objectives` in the platform's settings). Classes with objectives are
 * latency-sensitive, classes without any are best-effort. If no class has an objective, none is best-effort.
 */
class ServiceLevelObjectives(objectives: List<Objective>) {
    private val byClass: Map<String, List<Objective>> =
        objectives.filter { it.jobClass != null }.groupBy { it.jobClass.orEmpty() }

    /** The job classes that have at least one objective. */
    val classes: Set<String> get() = byClass.keys

    /** Whether [jobClass] has an objective, or no class has one. If false, the class is best-effort. */
    fun hasObjective(jobClass: String): Boolean = byClass.isEmpty() || jobClass in byClass

    /**
     * Returns the shortest time, in seconds, within which all tasks of a job of [jobClass] should have started; null
     * without such an objective.
     */
    fun startWithinS(jobClass: String): Double? = tightest(jobClass, "wait")

    /**
     * Returns the shortest time, in seconds, within which such a job should be done; null without such an objective.
     */
    fun finishWithinS(jobClass: String): Double? = tightest(jobClass, "finished")

    /**
     * Returns the longest time, in seconds, after which a start still meets one of the objectives; null without any.
     */
    fun lastStartWithinS(jobClass: String): Double? = loosest(jobClass, "wait")

    /** Returns the longest time, in seconds, after which an end still meets one of the objectives; null without any. */
    fun lastFinishWithinS(jobClass: String): Double? = loosest(jobClass, "finished")

    /**
     * Returns the largest multiple of the time until its deadline that a job may take and still meet one of the
     * objectives; 1 without any.
     */
    fun loosestDeadlineFactor(jobClass: String): Double =
        objectivesOf(jobClass, "deadline").maxOfOrNull { it.times } ?: 1.0

    private fun tightest(jobClass: String, kind: String): Double? =
        objectivesOf(jobClass, kind).minOfOrNull { it.withinS }

    private fun loosest(jobClass: String, kind: String): Double? =
        objectivesOf(jobClass, kind).maxOfOrNull { it.withinS }

    private fun objectivesOf(jobClass: String, kind: String): List<Objective> =
        byClass[jobClass].orEmpty().filter { it.kind == kind }
}
