package plankwall.model

enum class Shape { ARRAY, GANG, SERVICE }

/** In ascending order: a later constant may preempt an earlier one. */
enum class Priority { LOW, NORMAL, HIGH, PRODUCTION }

/** What a user handed in, checked but not yet judged against the catalogue and the team's limit. */
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
    /** Ids of the jobs that have to be done before any task of this one starts. */
    val dependencies: List<String> = emptyList(),
)

/** What rights may ask about a job. [owner]: null where nobody proved who submitted it. */
data class JobFacts(
    val owner: String?,
    val jobClass: String,
    val team: String,
    val priority: Priority,
    val shape: Shape,
)

fun JobSpec.factsFor(owner: String?): JobFacts = JobFacts(owner, jobClass, team, priority, shape)

/** Where a job stands, as told to its user. */
enum class JobStage { PENDING, RUNNING, DONE, CANCELLED }

/** [dependencies]: what the job waits, or waited, for; known while it is live. */
data class JobView(
    val id: String,
    val stage: JobStage,
    val done: Int,
    val running: Int,
    val dependencies: List<String> = emptyList(),
)
