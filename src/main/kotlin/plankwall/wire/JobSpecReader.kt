package plankwall.wire

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import plankwall.model.JobSpec
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import java.math.BigDecimal

/**
 * Reads and checks one job description; an instance serves for one description only. Whatever is accepted here is
 * stored permanently.
 *
 * @property complete whether every flag must be given. In a submission a missing flag must not be taken for false,
 *   since the job could then be placed where its owner did not want it.
 */
internal class JobSpecReader(private val complete: Boolean) {
    private var id: String? = null
    private var jobClass: String? = null
    private var team: String? = null
    private var shape: Shape? = null
    private var priority: Priority? = null
    private var tasks: Long? = null
    private var cpus: Long? = null
    private var gpus: Long? = null
    private var memory: Long? = null
    private var image: String? = null
    private var imageGb: Double? = null
    private var types: List<String>? = null
    private var zone: String? = null
    private var oneZone: Boolean? = null
    private var spread: Boolean? = null
    private var spot: Boolean? = null
    private var estimateS: Double? = null
    private var checkpointS: Double? = null
    private var saveS: Double? = null
    private var deadlineS: Double? = null
    private var dependencies: List<String> = emptyList()

    /**
     * Reads the description at which [parser] stands. Throws [MalformedMessageException] for a field that is missing,
     * of a wrong type or out of bounds.
     */
    fun read(parser: JsonParser): JobSpec {
        parser.forEachField { name -> readField(name) }
        return buildSpec()
    }

    private fun JsonParser.readField(name: String) {
        when (name) {
            "id" -> id = readBoundedName(name)
            Fields.JOB_CLASS -> jobClass = readBoundedName(name)
            Fields.TEAM -> team = readBoundedName(name)
            "shape" -> shape = JobWords.shape(name, readString(name))
            Fields.PRIORITY -> priority = JobWords.priority(name, readString(name))
            Fields.TASKS -> tasks = readWholeNumber(name)
            Fields.CPUS -> cpus = readNeed(name)
            Fields.GPUS -> gpus = readNeed(name)
            Fields.MEMORY_GB -> memory = readNeed(name)
            Fields.IMAGE -> image = readBoundedName(name)
            Fields.IMAGE_GB -> imageGb = readLimitedAmount(name)
            Fields.MACHINE_TYPES -> types = readNames(name)
            Fields.ZONE -> zone = readNullableString(name)
            Fields.ONE_ZONE -> oneZone = readOptionalFlag(name)
            Fields.SPREAD -> spread = readOptionalFlag(name)
            Fields.SPOT -> spot = readOptionalFlag(name)
            Fields.ESTIMATE_S -> estimateS = readLimitedAmount(name)
            Fields.CHECKPOINT_S -> checkpointS = readLimitedAmount(name)
            Fields.SAVE_S -> saveS = readLimitedAmount(name)
            Fields.DEPENDENCIES -> dependencies = readJobIds(name)
            Fields.DEADLINE_S -> deadlineS = if (isNull) null else readLimitedAmount(name)
        }
    }

    private fun buildSpec(): JobSpec {
        val taskCount = required(Fields.TASKS, tasks)
        if (taskCount !in 1..MAX_TASKS) throw MalformedMessageException(Fields.TASKS, "must lie in 1..$MAX_TASKS")
        val jobId = required("id", id)
        if (!JobCodec.isJobId(jobId)) throw MalformedMessageException("id", NOT_A_JOB_ID)
        if (jobId in dependencies) throw MalformedMessageException(Fields.DEPENDENCIES, "names the job itself")
        return JobSpec(
            id = jobId,
            jobClass = required(Fields.JOB_CLASS, jobClass),
            team = required(Fields.TEAM, team),
            shape = required("shape", shape),
            priority = required(Fields.PRIORITY, priority),
            tasks = taskCount.toInt(),
            need = Resources(
                required(Fields.CPUS, cpus),
                required(Fields.GPUS, gpus),
                required(Fields.MEMORY_GB, memory),
            ),
            image = required(Fields.IMAGE, image),
            imageGb = required(Fields.IMAGE_GB, imageGb),
            types = types,
            zone = zone,
            oneZone = requiredFlag(Fields.ONE_ZONE, oneZone),
            spread = requiredFlag(Fields.SPREAD, spread),
            spot = requiredFlag(Fields.SPOT, spot),
            estimateS = required(Fields.ESTIMATE_S, estimateS),
            checkpointS = required(Fields.CHECKPOINT_S, checkpointS),
            saveS = required(Fields.SAVE_S, saveS),
            deadlineS = deadlineS,
            dependencies = dependencies,
        )
    }

    private fun <T : Any> required(field: String, value: T?): T =
        value ?: throw MalformedMessageException(field, "missing")

    private fun requiredFlag(field: String, value: Boolean?): Boolean =
        if (complete) required(field, value) else value ?: false

    private val JsonParser.isNull: Boolean get() = currentToken() == JsonToken.VALUE_NULL

    private fun JsonParser.readBoundedName(field: String): String {
        val value = readString(field)
        if (value.isEmpty() || value.length > MAX_NAME_LENGTH) {
            throw MalformedMessageException(field, "must have 1 to $MAX_NAME_LENGTH characters")
        }
        return value
    }

    private fun JsonParser.readNeed(field: String): Long = Resources.need(readLimitedDecimal(field))

    private fun JsonParser.readLimitedAmount(field: String): Double = Amounts.toDouble(readLimitedDecimal(field))

    private fun JsonParser.readLimitedDecimal(field: String): BigDecimal {
        val value = readDecimal(field)
        if (value.signum() < 0 || value > Amounts.LARGEST) throw MalformedMessageException(field, "out of range")
        return value
    }

    private fun JsonParser.readOptionalFlag(field: String): Boolean? =
        if (!complete && isNull) null else readBoolean(field)

    private fun JsonParser.readNames(field: String): List<String>? {
        if (isNull) return null
        val found = ArrayList<String>()
        forEachElement { found.add(readBoundedName(field)) }
        return found
    }

    /** Reads a list of job ids in their order; an id that occurs more than once is kept once. */
    private fun JsonParser.readJobIds(field: String): List<String> {
        if (isNull) return emptyList()
        if (currentToken() != JsonToken.START_ARRAY) throw MalformedMessageException(field, "not a list")
        val found = LinkedHashSet<String>()
        forEachElement {
            val jobId = readString(field)
            if (!JobCodec.isJobId(jobId)) throw MalformedMessageException(field, NOT_A_JOB_ID)
            found.add(jobId)
        }
        return found.toList()
    }

    private companion object {
        const val MAX_TASKS = 100_000L
        const val MAX_NAME_LENGTH = 200
        const val NOT_A_JOB_ID = "not of the form job-000412"
    }
}
