package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import plankwall.model.JobFacts
import plankwall.model.JobSpec
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import java.math.BigDecimal

/** Job descriptions and states under the protocol's names. */
object JobCodec {
    private const val MAX_TASKS = 100_000L
    private val MAX_AMOUNT = BigDecimal(1_000_000_000L)
    private val ID = Regex("job-[0-9]{1,18}")

    private val shapes = mapOf("sweep" to Shape.ARRAY, "ensemble" to Shape.GANG, "service" to Shape.SERVICE)
    private val priorities = mapOf(
        "critical" to Priority.PRODUCTION,
        "urgent" to Priority.HIGH,
        "normal" to Priority.NORMAL,
        "low" to Priority.LOW,
    )
    private val shapeNames = shapes.entries.associate { it.value to it.key }
    private val priorityNames = priorities.entries.associate { it.value to it.key }

    fun isJobId(id: String): Boolean = ID.matches(id)

    /** How many jobs one may wait for: with the longest usual ids they still fit a small stored value. */
    const val MAX_DEPENDENCIES = 100

    /** A submission. What bounds it beyond its form stays out of [read], which must go on reading what is stored. */
    fun read(bytes: ByteArray): JobSpec = parseJson(bytes) { read(it, whole = true) }.also {
        if (it.dependencies.size >
            MAX_DEPENDENCIES
        ) {
            throw MalformedMessageException("awaits: at most $MAX_DEPENDENCIES jobs")
        }
    }

    /**
     * Throws [MalformedMessageException] for anything missing or out of bounds: what is let in here is stored for good. A submission
     * has to be [whole]: a flag that is missing is no false one, since the job would be placed where its owner may not
     * have meant it to be.
     */
    fun read(p: JsonParser, whole: Boolean = false): JobSpec {
        var id: String? = null
        var jobClass: String? = null
        var team: String? = null
        var shape: Shape? = null
        var priority: Priority? = null
        var tasks: Long? = null
        var cpus: Long? = null
        var gpus: Long? = null
        var memory: Long? = null
        var image: String? = null
        var imageGb: Double? = null
        var types: List<String>? = null
        var zone: String? = null
        var oneZone: Boolean? = null
        var spread: Boolean? = null
        var spot: Boolean? = null
        var estimate: Double? = null
        var checkpoint: Double? = null
        var save: Double? = null
        var deadline: Double? = null
        var dependencies: List<String> = emptyList()
        p.fields { name ->
            when (name) {
                "id" -> id = name(name)
                "docket" -> jobClass = name(name)
                "crew" -> team = name(name)
                "shape" -> shape = shapes[text(name)] ?: throw MalformedMessageException("shape: unknown")
                "urgency" -> priority = priorities[text(name)] ?: throw MalformedMessageException("urgency: unknown")
                "pieces" -> tasks = whole(name)
                "cores" -> cpus = Resources.need(amount(name))
                "accelerators" -> gpus = Resources.need(amount(name))
                "ram_gb" -> memory = Resources.need(amount(name))
                "mould" -> image = name(name)
                "size_gb" -> imageGb = amount(name).toDouble()
                "builds" -> types = names(name)
                "yard" -> zone = textOrNull(name)
                "together" -> oneZone = flag(name, whole)
                "scatter" -> spread = flag(name, whole)
                "loaners" -> spot = flag(name, whole)
                "guess_s" -> estimate = amount(name).toDouble()
                "snapshot_s" -> checkpoint = amount(name).toDouble()
                "stow_s" -> save = amount(name).toDouble()
                "awaits" -> dependencies = jobIds(name)
                "due_s" -> deadline = if (currentToken() == JsonToken.VALUE_NULL) null else amount(name).toDouble()
            }
        }
        val count = need("pieces", tasks)
        if (count !in 1..MAX_TASKS) throw MalformedMessageException("pieces: must lie in 1..$MAX_TASKS")
        val jobId = need("id", id)
        if (!isJobId(jobId)) throw MalformedMessageException("id: not of the form job-000412")
        if (jobId in dependencies) throw MalformedMessageException("awaits: names the job itself")
        fun needFlag(name: String, value: Boolean?): Boolean = if (whole) need(name, value) else value ?: false
        return JobSpec(
            jobId, need("docket", jobClass), need("crew", team), need("shape", shape), need("urgency", priority),
            count.toInt(), Resources(need("cores", cpus), need("accelerators", gpus), need("ram_gb", memory)),
            need("mould", image), need("size_gb", imageGb), types, zone,
            needFlag("together", oneZone), needFlag("scatter", spread), needFlag("loaners", spot),
            need("guess_s", estimate), need("snapshot_s", checkpoint), need("stow_s", save), deadline,
            dependencies,
        )
    }

    private fun <T : Any> need(name: String, value: T?): T = value ?: throw MalformedMessageException("$name: missing")

    private fun JsonParser.name(field: String): String {
        val value = text(field)
        if (value.isEmpty() ||
            value.length > 200
        ) {
            throw MalformedMessageException("$field: must have 1 to 200 characters")
        }
        return value
    }

    private fun JsonParser.amount(field: String): BigDecimal {
        val value = decimal(field)
        if (value.signum() < 0 || value > MAX_AMOUNT) throw MalformedMessageException("$field: out of range")
        return value
    }

    private fun JsonParser.flag(field: String, whole: Boolean): Boolean? =
        if (!whole && currentToken() == JsonToken.VALUE_NULL) null else flag(field)

    private fun JsonParser.names(field: String): List<String>? {
        if (currentToken() == JsonToken.VALUE_NULL) return null
        val found = ArrayList<String>()
        elements { found.add(name(field)) }
        return found
    }

    /** A name that comes twice counts once. */
    private fun JsonParser.jobIds(field: String): List<String> {
        if (currentToken() == JsonToken.VALUE_NULL) return emptyList()
        if (currentToken() != JsonToken.START_ARRAY) throw MalformedMessageException("$field: not a list")
        val found = LinkedHashSet<String>()
        elements {
            val id = text(field)
            if (!isJobId(id)) throw MalformedMessageException("$field: not of the form job-000412")
            found.add(id)
        }
        return found.toList()
    }

    private fun JsonGenerator.jobIds(field: String, ids: List<String>) {
        if (ids.isNotEmpty()) arr(field) { ids.forEach { writeString(it) } }
    }

    /** A submission as users send it, with every flag. */
    fun description(s: JobSpec): ByteArray = writeJson { obj { write(this, s) } }

    fun write(g: JsonGenerator, s: JobSpec) {
        g.writeStringField("id", s.id)
        g.writeStringField("docket", s.jobClass)
        g.writeStringField("crew", s.team)
        g.writeStringField("shape", shapeNames[s.shape])
        g.writeStringField("urgency", priorityNames[s.priority])
        g.writeNumberField("pieces", s.tasks)
        g.writeNumberField("cores", s.need.cpus / 1000.0)
        g.writeNumberField("accelerators", s.need.gpus / 1000.0)
        g.writeNumberField("ram_gb", s.need.memory / 1000.0)
        g.writeStringField("mould", s.image)
        g.writeNumberField("size_gb", s.imageGb)
        if (s.types != null) g.arr("builds") { s.types.forEach { writeString(it) } }
        if (s.zone != null) g.writeStringField("yard", s.zone)
        g.writeBooleanField("together", s.oneZone)
        g.writeBooleanField("scatter", s.spread)
        g.writeBooleanField("loaners", s.spot)
        g.writeNumberField("guess_s", s.estimateS)
        g.writeNumberField("snapshot_s", s.checkpointS)
        g.writeNumberField("stow_s", s.saveS)
        if (s.deadlineS != null) g.writeNumberField("due_s", s.deadlineS)
        g.jobIds("awaits", s.dependencies)
    }

    /** A description, checked, that also waits for [more]. */
    fun withDependencies(description: ByteArray, more: List<String>): ByteArray {
        val spec = read(description)
        val all = writeJson { obj { write(this, spec.copy(dependencies = (spec.dependencies + more).distinct())) } }
        // Read again, so that what was added is held to the same rules.
        read(all)
        return all
    }

    /** Whether an answer to a poll says that the job is over. */
    fun isOver(view: ByteArray): Boolean = parseJson(view) { p ->
        var stage = ""
        p.fields { name -> if (name == "stage") stage = text(name) }
        stage == stageName(JobStage.DONE) || stage == stageName(JobStage.CANCELLED)
    }

    /** The protocol's words for a job's stage. */
    private fun stageName(stage: JobStage): String = when (stage) {
        JobStage.PENDING -> "pending"
        JobStage.RUNNING -> "running"
        JobStage.DONE -> "done"
        JobStage.CANCELLED -> "withdrawn"
    }

    fun accepted(view: JobView): ByteArray = writeJson {
        obj {
            writeStringField("id", view.id)
            writeStringField("stage", stageName(view.stage))
        }
    }

    fun view(view: JobView): ByteArray = writeJson {
        obj {
            writeStringField("id", view.id)
            writeStringField("stage", stageName(view.stage))
            writeNumberField("done", view.done)
            writeNumberField("running", view.running)
            jobIds("awaits", view.dependencies)
        }
    }

    /** What rights may ask about a job that is over; its description is gone by then. */
    fun writeFacts(g: JsonGenerator, f: JobFacts) {
        f.owner?.let { g.writeStringField("own", it) }
        g.writeStringField("docket", f.jobClass)
        g.writeStringField("crew", f.team)
        g.writeStringField("shape", shapeNames[f.shape])
        g.writeStringField("urgency", priorityNames[f.priority])
    }

    class FactsReader {
        private var owner: String? = null
        private var jobClass = ""
        private var team = ""
        private var shape = Shape.ARRAY
        private var priority = Priority.LOW

        /** Whether [name] was one of the fields that [writeFacts] writes. */
        fun take(p: JsonParser, name: String): Boolean {
            when (name) {
                "own" -> owner = p.text(name)
                "docket" -> jobClass = p.text(name)
                "crew" -> team = p.text(name)
                "shape" -> shape = shapes[p.text(name)] ?: throw MalformedMessageException("shape: unknown")
                "urgency" -> priority = priorities[p.text(name)] ?: throw MalformedMessageException("urgency: unknown")
                else -> return false
            }
            return true
        }

        fun facts(): JobFacts? = owner?.let { JobFacts(it, jobClass, team, priority, shape) }
    }

    fun priorityName(priority: Priority): String = priorityNames.getValue(priority)

    fun shapeName(shape: Shape): String = shapeNames.getValue(shape)

    val priorityWords: Map<String, Priority> get() = priorities
    val shapeWords: Map<String, Shape> get() = shapes

    fun error(reason: String): ByteArray = writeJson { obj { writeStringField("error", reason) } }
}
