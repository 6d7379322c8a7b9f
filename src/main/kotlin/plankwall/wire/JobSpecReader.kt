package plankwall.wire

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import plankwall.model.JobSpec
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import java.math.BigDecimal

/**
 * Reads one job description field by field and checks it: what is accepted here is stored for good. Every flag of a
 * description that has to be [complete] must be given: a flag that is missing is not the same as one that is false,
 * since the job could be placed where its owner did not want it.
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

    /** Throws [MalformedMessageException] for anything missing or out of bounds. */
    fun read(parser: JsonParser): JobSpec {
        parser.fields { name -> readField(name) }
        return spec()
    }

    private fun JsonParser.readField(name: String) {
        when (name) {
            "id" -> id = name(name)
            Fields.JOB_CLASS -> jobClass = name(name)
            Fields.TEAM -> team = name(name)
            "shape" -> shape = JobWords.shape(name, text(name))
            Fields.PRIORITY -> priority = JobWords.priority(name, text(name))
            Fields.TASKS -> tasks = whole(name)
            Fields.CPUS -> cpus = Resources.need(amount(name))
            Fields.GPUS -> gpus = Resources.need(amount(name))
            Fields.MEMORY_GB -> memory = Resources.need(amount(name))
            Fields.IMAGE -> image = name(name)
            Fields.IMAGE_GB -> imageGb = amount(name).toDouble()
            Fields.MACHINE_TYPES -> types = names(name)
            Fields.ZONE -> zone = textOrNull(name)
            Fields.ONE_ZONE -> oneZone = optionalFlag(name)
            Fields.SPREAD -> spread = optionalFlag(name)
            Fields.SPOT -> spot = optionalFlag(name)
            Fields.ESTIMATE_S -> estimateS = amount(name).toDouble()
            Fields.CHECKPOINT_S -> checkpointS = amount(name).toDouble()
            Fields.SAVE_S -> saveS = amount(name).toDouble()
            Fields.DEPENDENCIES -> dependencies = jobIds(name)
            Fields.DEADLINE_S -> deadlineS = if (isNull) null else amount(name).toDouble()
        }
    }

    private fun spec(): JobSpec {
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

    private fun JsonParser.name(field: String): String {
        val value = text(field)
        if (value.isEmpty() || value.length > MAX_NAME_LENGTH) {
            throw MalformedMessageException(field, "must have 1 to $MAX_NAME_LENGTH characters")
        }
        return value
    }

    private fun JsonParser.amount(field: String): BigDecimal {
        val value = decimal(field)
        if (value.signum() < 0 || value > MAX_AMOUNT) throw MalformedMessageException(field, "out of range")
        return value
    }

    private fun JsonParser.optionalFlag(field: String): Boolean? = if (!complete && isNull) null else flag(field)

    private fun JsonParser.names(field: String): List<String>? {
        if (isNull) return null
        val found = ArrayList<String>()
        elements { found.add(name(field)) }
        return found
    }

    /** A job id that is given twice counts once. */
    private fun JsonParser.jobIds(field: String): List<String> {
        if (isNull) return emptyList()
        if (currentToken() != JsonToken.START_ARRAY) throw MalformedMessageException(field, "not a list")
        val found = LinkedHashSet<String>()
        elements {
            val jobId = text(field)
            if (!JobCodec.isJobId(jobId)) throw MalformedMessageException(field, NOT_A_JOB_ID)
            found.add(jobId)
        }
        return found.toList()
    }

    private companion object {
        const val MAX_TASKS = 100_000L
        const val MAX_NAME_LENGTH = 200
        const val NOT_A_JOB_ID = "not of the form job-000412"
        val MAX_AMOUNT = BigDecimal(1_000_000_000L)
    }
}
