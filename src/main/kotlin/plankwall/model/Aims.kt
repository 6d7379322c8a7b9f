package plankwall.model

/**
 * What the operators' aims say of each class of jobs (`objectives` in the platform's settings). They tell work that somebody waits
 * for from work that takes what is left; a site that states none expects everything of everybody.
 */
class Aims(objectives: List<Objective>) {
    private val byClass: Map<String, List<Objective>> = objectives.filter { it.jobClass != null }.groupBy { it.jobClass.orEmpty() }

    val classes: Set<String> get() = byClass.keys

    /** Whether anybody said when jobs of [jobClass] should start, be done or be up. */
    fun isStated(jobClass: String): Boolean = byClass.isEmpty() || jobClass in byClass

    /** Within how many seconds all tasks of such a job should have started; null where that was not said. */
    fun startWithinS(jobClass: String): Double? = tightest(jobClass, "wait")

    /** Within how many seconds such a job should be done; null where that was not said. */
    fun finishWithinS(jobClass: String): Double? = tightest(jobClass, "finished")

    private fun tightest(jobClass: String, kind: String): Double? = byClass[jobClass]?.filter { it.kind == kind }?.minOfOrNull { it.withinS }
}
