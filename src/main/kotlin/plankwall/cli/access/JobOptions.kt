package plankwall.cli.access

import picocli.CommandLine.Option
import plankwall.cli.settings.InvalidSettingsException
import plankwall.model.JobFacts
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.wire.JobCodec

/** The job that a question about the policy concerns. */
class JobOptions {
    @Option(names = ["--class"], description = ["The job's class."])
    var jobClass: String? = null

    @Option(names = ["--team"], description = ["Its team."])
    var team: String? = null

    @Option(names = ["--owner"], description = ["Who submitted it."])
    var owner: String? = null

    @Option(names = ["--priority"], description = ["critical, urgent, normal or low."])
    var priority: String? = null

    @Option(names = ["--shape"], description = ["sweep, ensemble or service."])
    var shape: String? = null

    /** Null if no option was given: the question concerns no job. */
    fun facts(): JobFacts? {
        val given = JobWordsGiven(jobClass, team, owner, priority, shape)
        return if (given.isEmpty) null else given.facts()
    }
}

/** What a user gave of a job, in the words of the protocol. */
internal class JobWordsGiven(
    private val jobClass: String?,
    private val team: String?,
    private val owner: String?,
    private val priority: String?,
    private val shape: String?,
) {
    val isEmpty: Boolean get() = listOf(jobClass, team, owner, priority, shape).all { it == null }

    /** Throws [InvalidSettingsException] for an unknown priority or shape. */
    fun facts() = JobFacts(
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
