package plankwall.cli.access

import picocli.CommandLine.Option
import plankwall.cli.settings.InvalidSettingsException
import plankwall.model.JobFacts
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.wire.JobCodec

/** The options that describe the job in a question about the policy. */
class JobOptions {
    @Option(names = ["--class"], description = ["The job's class."])
    var jobClass: String? = null

    @Option(names = ["--team"], description = ["The job's team."])
    var team: String? = null

    @Option(names = ["--owner"], description = ["The principal that submitted the job."])
    var owner: String? = null

    @Option(names = ["--priority"], description = ["critical, urgent, normal or low."])
    var priority: String? = null

    @Option(names = ["--shape"], description = ["sweep, ensemble or service."])
    var shape: String? = null

    /** Returns the facts about the job; null if no option was given, because the question then concerns no job. */
    fun toJobFacts(): JobFacts? {
        val attributes = JobAttributes(jobClass, team, owner, priority, shape)
        return if (attributes.isEmpty) null else attributes.toJobFacts()
    }
}

/** The attributes of a job as a user gave them, in the words of the protocol; null for those not given. */
internal class JobAttributes(
    private val jobClass: String?,
    private val team: String?,
    private val owner: String?,
    private val priority: String?,
    private val shape: String?,
) {
    /** Whether no attribute was given. */
    val isEmpty: Boolean get() = listOf(jobClass, team, owner, priority, shape).all { it == null }

    /** Returns the facts about the job. Throws [InvalidSettingsException] for an unknown priority or shape. */
    fun toJobFacts() = JobFacts(
        owner = owner,
        jobClass = jobClass.orEmpty(),
        team = team.orEmpty(),
        priority = priority?.let { readPriority(it) } ?: Priority.NORMAL,
        shape = shape?.let { readShape(it) } ?: Shape.ARRAY,
    )

    private fun readPriority(word: String): Priority =
        JobCodec.priorityWords[word] ?: throw InvalidSettingsException("no priority is called '$word'")

    private fun readShape(word: String): Shape =
        JobCodec.shapeWords[word] ?: throw InvalidSettingsException("no shape is called '$word'")
}
