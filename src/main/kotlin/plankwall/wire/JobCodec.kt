package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import plankwall.model.JobSpec
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.model.Priority
import plankwall.model.Shape

/** Job descriptions and states under the protocol's names. */
object JobCodec {
    /** How many jobs one may depend on: with the longest usual ids they still fit a small stored value. */
    const val MAX_DEPENDENCIES = 100

    private val JOB_ID = Regex("job-[0-9]{1,18}")

    /** The protocol's words for priorities. */
    val priorityWords: Map<String, Priority> get() = JobWords.priorities

    /** The protocol's words for shapes. */
    val shapeWords: Map<String, Shape> get() = JobWords.shapes

    fun priorityName(priority: Priority): String = JobWords.word(priority)

    fun shapeName(shape: Shape): String = JobWords.word(shape)

    /** Whether [id] has the form of a job's id. */
    fun isJobId(id: String): Boolean = JOB_ID.matches(id)

    /**
     * Reads a submission; throws [MalformedMessageException]. Limits beyond its form are checked here and not in the
     * other [read], which must go on reading what is stored.
     */
    fun read(bytes: ByteArray): JobSpec {
        val spec = parseJson(bytes) { read(it, whole = true) }
        if (spec.dependencies.size > MAX_DEPENDENCIES) {
            throw MalformedMessageException(Fields.DEPENDENCIES, "at most $MAX_DEPENDENCIES jobs")
        }
        return spec
    }

    /**
     * Reads the description that [p] stands on; throws [MalformedMessageException]. A submission has to be [whole],
     * with every flag; see [JobSpecReader].
     */
    fun read(p: JsonParser, whole: Boolean = false): JobSpec = JobSpecReader(complete = whole).read(p)

    /** A submission as users send it, with every flag. */
    fun description(spec: JobSpec): ByteArray = writeJson { obj { write(this, spec) } }

    /** Writes the fields of [spec] into the object that [generator] has open. */
    fun write(generator: JsonGenerator, spec: JobSpec) = with(generator) {
        writeStringField("id", spec.id)
        writeStringField(Fields.JOB_CLASS, spec.jobClass)
        writeStringField(Fields.TEAM, spec.team)
        writeStringField("shape", JobWords.word(spec.shape))
        writeStringField(Fields.PRIORITY, JobWords.word(spec.priority))
        writeNumberField(Fields.TASKS, spec.tasks)
        writeNumberField(Fields.CPUS, spec.need.cpus / 1000.0)
        writeNumberField(Fields.GPUS, spec.need.gpus / 1000.0)
        writeNumberField(Fields.MEMORY_GB, spec.need.memory / 1000.0)
        writeStringField(Fields.IMAGE, spec.image)
        writeNumberField(Fields.IMAGE_GB, spec.imageGb)
        if (spec.types != null) arr(Fields.MACHINE_TYPES) { spec.types.forEach { writeString(it) } }
        if (spec.zone != null) writeStringField(Fields.ZONE, spec.zone)
        writeBooleanField(Fields.ONE_ZONE, spec.oneZone)
        writeBooleanField(Fields.SPREAD, spec.spread)
        writeBooleanField(Fields.SPOT, spec.spot)
        writeNumberField(Fields.ESTIMATE_S, spec.estimateS)
        writeNumberField(Fields.CHECKPOINT_S, spec.checkpointS)
        writeNumberField(Fields.SAVE_S, spec.saveS)
        if (spec.deadlineS != null) writeNumberField(Fields.DEADLINE_S, spec.deadlineS)
        dependencies(spec.dependencies)
    }

    private fun JsonGenerator.dependencies(jobIds: List<String>) {
        if (jobIds.isNotEmpty()) arr(Fields.DEPENDENCIES) { jobIds.forEach { writeString(it) } }
    }

    /**
     * The submission [description], checked, with the dependencies [more] added; throws [MalformedMessageException].
     */
    fun withDependencies(description: ByteArray, more: List<String>): ByteArray {
        val spec = read(description)
        val extended = description(spec.copy(dependencies = (spec.dependencies + more).distinct()))
        // Read again, so that the added dependencies are held to the same rules.
        read(extended)
        return extended
    }

    /** Whether [view], the answer to a status request, says that the job is over. */
    fun isOver(view: ByteArray): Boolean = parseJson(view) { p ->
        var stage = ""
        p.fields { name -> if (name == "stage") stage = text(name) }
        stage == JobWords.word(JobStage.DONE) || stage == JobWords.word(JobStage.CANCELLED)
    }

    /** The answer to a submission. */
    fun accepted(view: JobView): ByteArray = writeJson {
        obj {
            writeStringField("id", view.id)
            writeStringField("stage", JobWords.word(view.stage))
        }
    }

    /** The answer to a status request. */
    fun view(view: JobView): ByteArray = writeJson {
        obj {
            writeStringField("id", view.id)
            writeStringField("stage", JobWords.word(view.stage))
            writeNumberField("done", view.done)
            writeNumberField("running", view.running)
            dependencies(view.dependencies)
        }
    }

    /** The body of an answer to a request that failed. */
    fun error(reason: String): ByteArray = writeJson { obj { writeStringField("error", reason) } }
}
