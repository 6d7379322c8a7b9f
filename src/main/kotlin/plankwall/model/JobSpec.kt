package plankwall.model

/** How the tasks of a job belong together: independent, all at the same time, or running until cancelled. */
enum class Shape { ARRAY, GANG, SERVICE }

/** In ascending order: a later constant may preempt an earlier one. */
enum class Priority { LOW, NORMAL, HIGH, PRODUCTION }

/** A submitted job, whose form is valid; not yet checked against the catalogue and the team's limit. */
data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val shape: Shape,
    val priority: Priority,
    val tasks: Int,
    val need: Resources,
    val image: String,
    val imageGb: Double,
    val types: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val estimateS: Double,
    val checkpointS: Double,
    val saveS: Double,
    val deadlineS: Double?,
    /** DAG dependencies: the jobs that have to be done before any task of this one starts. */
    val dependencies: List<String> = emptyList(),
)

/** What the policy may ask about a job. [owner]: null where callers are not authenticated. */
data class JobFacts(
    val owner: String?,
    val jobClass: String,
    val team: String,
    val priority: Priority,
    val shape: Shape,
)

/** The facts of this job if [owner] submitted it. */
fun JobSpec.factsFor(owner: String?): JobFacts = JobFacts(owner, jobClass, team, priority, shape)

/** The stage of a job in answers to its user. */
enum class JobStage { PENDING, RUNNING, DONE, CANCELLED }

/** The state of a job in answers to its user. [dependencies]: known only while the job is live. */
data class JobView(
    val id: String,
    val stage: JobStage,
    val done: Int,
    val running: Int,
    val dependencies: List<String> = emptyList(),
)
