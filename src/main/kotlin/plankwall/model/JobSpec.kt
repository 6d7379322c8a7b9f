package plankwall.model

/**
 * The way in which the tasks of a job run: independently of each other (ARRAY), all at the same time (GANG), or without
 * an end until the job is cancelled (SERVICE).
 */
enum class Shape { ARRAY, GANG, SERVICE }

/** The priority of a job, in ascending order: jobs of a later constant may preempt those of an earlier one. */
enum class Priority { LOW, NORMAL, HIGH, PRODUCTION }

/**
 * The description of a submitted job. Its form has been checked, but not yet whether the catalogue has a machine type
 * for it and whether the team's limit allows it. Names that end in S are in seconds, those in Gb in gigabytes.
 *
 * @property tasks the number of tasks
 * @property need the resources that each task takes
 * @property types the machine types on which the tasks may run; null if all are allowed
 * @property zone the only zone in which the tasks may run; null if all are allowed
 * @property oneZone whether all tasks have to run in the same zone
 * @property spread whether the tasks have to be spread over zones: at most half of them, rounded up, run in one zone
 * @property spot whether the tasks may run on spot machines
 * @property estimateS how long a task takes, by the owner's estimate
 * @property checkpointS the interval between the checkpoints of a task; 0 if it saves none
 * @property saveS how long it takes to save a checkpoint
 * @property deadlineS the time within which the job has to be done; null without a deadline
 */
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
    /** The ids of the jobs that have to be done before any task of this one starts. */
    val dependencies: List<String> = emptyList(),
)

/** The properties of a job that a rule of the policy may test. [owner]: null where callers are not authenticated. */
data class JobFacts(
    val owner: String?,
    val jobClass: String,
    val team: String,
    val priority: Priority,
    val shape: Shape,
)

/** Returns the facts of this job, submitted by [owner]. */
fun JobSpec.factsFor(owner: String?): JobFacts = JobFacts(owner, jobClass, team, priority, shape)

/** The stage of a job in answers to its user. */
enum class JobStage { PENDING, RUNNING, DONE, CANCELLED }

/**
 * The state of a job in answers to its user. [done], [running]: the number of tasks that are done and that run now.
 * [dependencies]: the jobs that it depends on; known only until the job ends.
 */
data class JobView(
    val id: String,
    val stage: JobStage,
    val done: Int,
    val running: Int,
    val dependencies: List<String> = emptyList(),
)
