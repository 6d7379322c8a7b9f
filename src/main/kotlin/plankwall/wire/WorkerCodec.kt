package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

/** Codec of workers' heartbeats and of the commands to workers. */
object WorkerCodec {
    private val stages = mapOf(
        "fetching" to TaskStage.FETCHING,
        "waiting" to TaskStage.WAITING,
        "running" to TaskStage.RUNNING,
        "flushing" to TaskStage.SAVING,
        "ended" to TaskStage.EXITED,
    )
    private val causes = mapOf(
        "done" to ExitCause.DONE,
        "stopped" to ExitCause.STOPPED,
        "mates_gone" to ExitCause.PEER_LOST,
        "incomplete" to ExitCause.GANG_INCOMPLETE,
        "error" to ExitCause.ERROR,
        "full" to ExitCause.INSUFFICIENT_RESOURCES,
        "in_use" to ExitCause.OTHER_ATTEMPT_PRESENT,
        "unknown" to ExitCause.UNKNOWN,
    )
    private val stageWords = stages.entries.associate { (word, stage) -> stage to word }
    private val causeWords = causes.entries.associate { (word, cause) -> cause to word }

    /**
     * Reads a heartbeat; throws [MalformedMessageException] if a required field is missing, a field has a wrong type or
     * a name is one that frames between controllers can't carry. An unknown exit cause is read as null, and a
     * checkpoint counts as saved only if the field is true.
     */
    fun readHeartbeat(bytes: ByteArray): HeartbeatStatus = parseJson(bytes) { parser ->
        var machine = ""
        var address = ""
        var type = ""
        var zone = ""
        var spot = false
        var session = -1L
        var seq = -1L
        var token = -1L
        var noticeS: Double? = null
        val tasks = ArrayList<TaskStatus>()
        parser.forEachField { name ->
            when (name) {
                Fields.MACHINE -> machine = readString(name)
                "address" -> address = readString(name)
                Fields.MACHINE_TYPE -> type = readString(name)
                Fields.ZONE -> zone = readString(name)
                Fields.SPOT -> spot = readBoolean(name)
                Fields.AGENT_EPOCH -> session = readWholeNumber(name)
                Fields.SEQUENCE_NUMBER -> seq = readWholeNumber(name)
                Fields.FENCING_TOKEN -> token = readWholeNumber(name)
                Fields.PREEMPTION_NOTICE_S -> noticeS = readNullableAmount(name)
                Fields.TASKS -> forEachElement { tasks.add(readTask()) }
            }
        }
        if (minOf(session, seq, token) < 0) throw MalformedMessageException("report", "a required field is missing")
        HeartbeatStatus(
            machine = requireFrameName(Fields.MACHINE, machine),
            address = requireFrameText("address", address),
            type = requireFrameText(Fields.MACHINE_TYPE, type),
            zone = requireFrameName(Fields.ZONE, zone),
            spot = spot,
            session = session,
            seq = seq,
            token = token,
            noticeS = noticeS,
            tasks = tasks,
        )
    }

    private fun JsonParser.readTask(): TaskStatus {
        var taskName = ""
        var attempt = -1L
        var stage: TaskStage? = null
        var cause: ExitCause? = null
        var saved = false
        forEachField { name ->
            when (name) {
                Fields.TASK -> taskName = readString(name)
                Fields.ATTEMPT -> attempt = readWholeNumber(name)
                "stage" -> stage = stages[readString(name)]
                "cause" -> cause = readNullableString(name)?.let { causes[it] }
                Fields.CHECKPOINT_SAVED -> saved = currentToken() == JsonToken.VALUE_TRUE
            }
        }
        val slash = taskName.lastIndexOf('/')
        val task = if (slash > 0) taskName.substring(slash + 1).toIntOrNull() else null
        val knownStage = stage
        // A task entry that can't be read must not be ignored: the leader takes a task without an entry for gone.
        if (task == null || attempt < 0 || knownStage == null) {
            throw MalformedMessageException("report", "malformed task entry '$taskName'")
        }
        val jobId = requireFrameName(Fields.TASK, taskName.substring(0, slash))
        return TaskStatus(jobId, task, attempt, knownStage, cause, saved)
    }

    /** Writes a heartbeat as a worker sends it, for simulated workers. */
    fun writeHeartbeat(heartbeat: HeartbeatStatus): ByteArray = writeJson {
        writeJsonObject {
            writeStringField(Fields.MACHINE, heartbeat.machine)
            writeStringField("address", heartbeat.address)
            writeStringField(Fields.MACHINE_TYPE, heartbeat.type)
            writeStringField(Fields.ZONE, heartbeat.zone)
            writeBooleanField(Fields.SPOT, heartbeat.spot)
            writeNumberField(Fields.AGENT_EPOCH, heartbeat.session)
            writeNumberField(Fields.SEQUENCE_NUMBER, heartbeat.seq)
            writeNumberField(Fields.FENCING_TOKEN, heartbeat.token)
            heartbeat.noticeS?.let { writeNumberField(Fields.PREEMPTION_NOTICE_S, it) }
            writeJsonArray(Fields.TASKS) {
                heartbeat.tasks.forEach { task -> writeJsonObject { writeTaskFields(task) } }
            }
        }
    }

    /** Returns the bytes that [task] takes in a heartbeat, without the comma that parts it from the next one. */
    internal fun sizeOf(task: TaskStatus): Int = writeJson { writeJsonObject { writeTaskFields(task) } }.size

    private fun JsonGenerator.writeTaskFields(task: TaskStatus) {
        writeStringField(Fields.TASK, "${task.jobId}/${task.task}")
        writeNumberField(Fields.ATTEMPT, task.attempt)
        writeStringField("stage", stageWords.getValue(task.stage))
        task.cause?.let { writeStringField("cause", causeWords.getValue(it)) }
        if (task.saved) writeBooleanField(Fields.CHECKPOINT_SAVED, true)
    }

    /** Writes the answer to a heartbeat with the leader's fencing token [token] and the commands [orders]. */
    fun answer(token: Long, orders: List<Order>): ByteArray = writeJson {
        writeJsonObject {
            writeNumberField(Fields.FENCING_TOKEN, token)
            writeOrders(orders)
        }
    }

    /**
     * Writes the commands [orders] for sending them to a worker directly, not in the answer to a heartbeat. The worker
     * executes them only while its agent epoch is [session].
     */
    fun commands(token: Long, session: Long, orders: List<Order>): ByteArray = writeJson {
        writeJsonObject {
            writeNumberField(Fields.FENCING_TOKEN, token)
            writeNumberField(Fields.AGENT_EPOCH, session)
            writeOrders(orders)
        }
    }

    private fun JsonGenerator.writeOrders(orders: List<Order>) = writeJsonArray("orders") {
        orders.forEach { order ->
            writeJsonObject {
                writeStringField(Fields.COMMAND, order.op.word)
                writeStringField(Fields.TASK, "${order.jobId}/${order.task}")
                writeNumberField(Fields.ATTEMPT, order.attempt)
                if (order.op == OrderOp.STOP) writeNumberField(Fields.GRACE_PERIOD_S, order.graceS)
            }
        }
    }

    /** Writes the answer that redirects a worker's heartbeats to [node], or to any other controller if it is null. */
    fun reportTo(node: String?): ByteArray = writeJson {
        writeJsonObject { if (node != null) writeStringField(Fields.ASSIGNED_CONTROLLER, node) }
    }
}
