package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import plankwall.model.JobSpec
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.model.Priority
import plankwall.model.Shape

/** Codec of job descriptions and of the answers about jobs, in the users' protocol. */
object JobCodec {
    /**
     * The maximum number of jobs that one job may depend on. Even with the longest usual ids, that many fit a small
     * stored value.
     */
    const val MAX_DEPENDENCIES = 100

    private val JOB_ID = Regex("job-[0-9]{1,18}")

    /** The priorities by the words that the protocol uses for them. */
    val priorityWords: Map<String, Priority> get() = JobWords.priorities

    /** The shapes by the words that the protocol uses for them. */
    val shapeWords: Map<String, Shape> get() = JobWords.shapes

    /** Returns the protocol's word for [priority]. */
    fun priorityName(priority: Priority): String = JobWords.word(priority)

    /** Returns the protocol's word for [shape]. */
    fun shapeName(shape: Shape): String = JobWords.word(shape)

    /** Whether [id] has the form of a job id, for example `job-000412`. */
    fun isJobId(id: String): Boolean = JOB_ID.matches(id)

    /**
     * Reads a submission; throws [MalformedMessageException]. The limit on dependencies is checked here and not in the
     * other [read], since that one has to accept every description that is already stored.
     */
    fun read(bytes: ByteArray): JobSpec {
        val spec = parseJson(bytes) { read(it, complete = true) }
        if (spec.dependencies.size > MAX_DEPENDENCIES) {
            throw MalformedMessageException(Fields.DEPENDENCIES, "at most $MAX_DEPENDENCIES jobs")
        }
        return spec
    }

    /**
     * Reads the job description at which [parser] stands; throws [MalformedMessageException]. [complete]: whether every
     * flag must be given, as in a submission; see [JobSpecReader].
     */
    fun read(parser: JsonParser, complete: Boolean = false): JobSpec = JobSpecReader(complete = complete).read(parser)

    /** Returns the submission that describes [spec], with every flag. */
    fun description(spec: JobSpec): ByteArray = writeJson { writeJsonObject { write(this, spec) } }

    /** Writes the fields of [spec] into the JSON object that [generator] has started. */
    fun write(generator: JsonGenerator, spec: JobSpec) = with(generator) {
        writeStringField("id", spec.id)
        writeStringField(Fields.JOB_CLASS, spec.jobClass)
        writeStringField(Fields.TEAM, spec.team)
        writeStringField("shape", JobWords.word(spec.shape))
        writeStringField(Fields.PRIORITY, JobWords.word(spec.priority))
        writeNumberField(Fields.TASKS, spec.tasks)
        writeResources(spec.need)
        writeStringField(Fields.IMAGE, spec.image)
        writeNumberField(Fields.IMAGE_GB, spec.imageGb)
        if (spec.types != null) writeJsonArray(Fields.MACHINE_TYPES) { spec.types.forEach { writeString(it) } }
        if (spec.zone != null) writeStringField(Fields.ZONE, spec.zone)
        writeBooleanField(Fields.ONE_ZONE, spec.oneZone)
        writeBooleanField(Fields.SPREAD, spec.spread)
        writeBooleanField(Fields.SPOT, spec.spot)
        writeNumberField(Fields.ESTIMATE_S, spec.estimateS)
        writeNumberField(Fields.CHECKPOINT_S, spec.checkpointS)
        writeNumberField(Fields.SAVE_S, spec.saveS)
        if (spec.deadlineS != null) writeNumberField(Fields.DEADLINE_S, spec.deadlineS)
        writeDependencies(spec.dependencies)
    }

    private fun JsonGenerator.writeDependencies(jobIds: List<String>) {
        if (jobIds.isNotEmpty()) writeJsonArray(Fields.DEPENDENCIES) { jobIds.forEach { writeString(it) } }
    }

    /**
     * Returns the submission [description] with the dependencies [added]; throws [MalformedMessageException] if either
     * the description or the result is not valid.
     */
    fun withDependencies(description: ByteArray, added: List<String>): ByteArray {
        val spec = read(description)
        val extended = description(spec.copy(dependencies = (spec.dependencies + added).distinct()))
        // Reading the result checks the added dependencies by the same rules.
        read(extended)
        return extended
    }

    /** Whether the job is done or cancelled according to [view], the answer to a status request. */
    fun hasEnded(view: ByteArray): Boolean = parseJson(view) { parser ->
        var stage = ""
        parser.forEachField { name -> if (name == "stage") stage = readString(name) }
        stage == JobWords.word(JobStage.DONE) || stage == JobWords.word(JobStage.CANCELLED)
    }

    /** Writes the answer to a submission that was accepted. */
    fun accepted(view: JobView): ByteArray = writeJson {
        writeJsonObject {
            writeStringField("id", view.id)
            writeStringField("stage", JobWords.word(view.stage))
        }
    }

    /** Writes the answer to a status request. */
    fun view(view: JobView): ByteArray = writeJson {
        writeJsonObject {
            writeStringField("id", view.id)
            writeStringField("stage", JobWords.word(view.stage))
            writeNumberField("done", view.done)
            writeNumberField("running", view.running)
            writeDependencies(view.dependencies)
        }
    }

    /** Writes the body of the answer to a request that failed. */
    fun error(reason: String): ByteArray = writeJson { writeJsonObject { writeStringField("error", reason) } }
}
