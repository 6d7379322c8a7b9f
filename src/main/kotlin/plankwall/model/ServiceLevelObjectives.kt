package plankwall.model

/**
 * What the operators' aims say of each class of jobs (`objectives` in the platform's settings). They tell work that
 * somebody waits for from work that takes what is left; a site that states none expects everything of everybody.
 */
class ServiceLevelObjectives(objectives: List<Objective>) {
    private val byClass: Map<String, List<Objective>> = objectives.filter {
        it.jobClass != null
    }.groupBy { it.jobClass.orEmpty() }

    val classes: Set<String> get() = byClass.keys

    /** Whether anybody said when jobs of [jobClass] should start, be done or be up. */
    fun isStated(jobClass: String): Boolean = byClass.isEmpty() || jobClass in byClass

    /** Within how many seconds all tasks of such a job should have started; null where that was not said. */
    fun startWithinS(jobClass: String): Double? = tightest(jobClass, "wait")

    /** Within how many seconds such a job should be done; null where that was not said. */
    fun finishWithinS(jobClass: String): Double? = tightest(jobClass, "finished")

    /** The longest time, in seconds, in which a start, or an end, still counts for anything. */
    fun lastStartWithinS(jobClass: String): Double? = stated(jobClass, "wait").maxOfOrNull { it.withinS }

    fun lastFinishWithinS(jobClass: String): Double? = stated(jobClass, "finished").maxOfOrNull { it.withinS }

    /** How many times its own time a job with a deadline may take and still count. */
    fun lastDeadlineTimes(jobClass: String): Double = stated(jobClass, "deadline").maxOfOrNull { it.times } ?: 1.0

    private fun tightest(jobClass: String, kind: String): Double? = stated(jobClass, kind).minOfOrNull { it.withinS }

    private fun stated(jobClass: String, kind: String): List<Objective> = byClass[jobClass].orEmpty().filter {
        it.kind ==
            kind
    }
}
