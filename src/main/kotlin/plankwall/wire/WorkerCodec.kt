package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

/** Heartbeats and commands under the protocol's names. */
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

    /** Reads a heartbeat; throws [MalformedMessageException] if a field that matters is missing or wrong. */
    fun readReport(bytes: ByteArray): HeartbeatStatus = parseJson(bytes) { p ->
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
        p.fields { name ->
            when (name) {
                Fields.MACHINE -> machine = text(name)
                "address" -> address = text(name)
                Fields.MACHINE_TYPE -> type = text(name)
                Fields.ZONE -> zone = text(name)
                Fields.SPOT -> spot = flag(name)
                Fields.AGENT_EPOCH -> session = whole(name)
                Fields.SEQUENCE_NUMBER -> seq = whole(name)
                Fields.FENCING_TOKEN -> token = whole(name)
                Fields.PREEMPTION_NOTICE_S -> noticeS = doubleOrNull(name)
                Fields.TASKS -> elements { tasks.add(readTask()) }
            }
        }
        if (machine.isEmpty() || minOf(session, seq, token) < 0) {
            throw MalformedMessageException("report", "a field is missing")
        }
        HeartbeatStatus(machine, address, type, zone, spot, session, seq, token, noticeS, tasks)
    }

    private fun JsonParser.readTask(): TaskStatus {
        var taskName = ""
        var attempt = -1L
        var stage: TaskStage? = null
        var cause: ExitCause? = null
        var saved = false
        fields { name ->
            when (name) {
                Fields.TASK -> taskName = text(name)
                Fields.ATTEMPT -> attempt = whole(name)
                "stage" -> stage = stages[text(name)]
                "cause" -> cause = textOrNull(name)?.let { causes[it] }
                Fields.CHECKPOINT_SAVED -> saved = currentToken() == JsonToken.VALUE_TRUE
            }
        }
        val slash = taskName.lastIndexOf('/')
        val task = if (slash > 0) taskName.substring(slash + 1).toIntOrNull() else null
        val knownStage = stage
        // An entry that can't be read must not be taken for an absent one: absence is proof that a task is gone.
        if (task == null || attempt < 0 || knownStage == null) {
            throw MalformedMessageException("report", "bad task entry '$taskName'")
        }
        return TaskStatus(taskName.substring(0, slash), task, attempt, knownStage, cause, saved)
    }

    /** A heartbeat as a worker sends it, for simulated workers. */
    fun writeReport(report: HeartbeatStatus): ByteArray = writeJson {
        obj {
            writeStringField(Fields.MACHINE, report.machine)
            writeStringField("address", report.address)
            writeStringField(Fields.MACHINE_TYPE, report.type)
            writeStringField(Fields.ZONE, report.zone)
            writeBooleanField(Fields.SPOT, report.spot)
            writeNumberField(Fields.AGENT_EPOCH, report.session)
            writeNumberField(Fields.SEQUENCE_NUMBER, report.seq)
            writeNumberField(Fields.FENCING_TOKEN, report.token)
            report.noticeS?.let { writeNumberField(Fields.PREEMPTION_NOTICE_S, it) }
            arr(Fields.TASKS) { report.tasks.forEach { task -> obj { taskFields(task) } } }
        }
    }

    private fun JsonGenerator.taskFields(task: TaskStatus) {
        writeStringField(Fields.TASK, "${task.jobId}/${task.task}")
        writeNumberField(Fields.ATTEMPT, task.attempt)
        writeStringField("stage", stageWords.getValue(task.stage))
        task.cause?.let { writeStringField("cause", causeWords.getValue(it)) }
        if (task.saved) writeBooleanField(Fields.CHECKPOINT_SAVED, true)
    }

    /** The answer to a heartbeat, by the leader whose fencing token is [token]. */
    fun answer(token: Long, orders: List<Order>): ByteArray = writeJson {
        obj {
            writeNumberField(Fields.FENCING_TOKEN, token)
            orders(orders)
        }
    }

    /** Commands sent to a worker directly; valid for the agent epoch [session] only. */
    fun commands(token: Long, session: Long, orders: List<Order>): ByteArray = writeJson {
        obj {
            writeNumberField(Fields.FENCING_TOKEN, token)
            writeNumberField(Fields.AGENT_EPOCH, session)
            orders(orders)
        }
    }

    private fun JsonGenerator.orders(orders: List<Order>) = arr("orders") {
        orders.forEach { order ->
            obj {
                writeStringField(Fields.COMMAND, order.op.word)
                writeStringField(Fields.TASK, "${order.jobId}/${order.task}")
                writeNumberField(Fields.ATTEMPT, order.attempt)
                if (order.op == OrderOp.STOP) writeNumberField(Fields.GRACE_PERIOD_S, order.graceS)
            }
        }
    }

    /** The answer that redirects a worker's heartbeats to [node]; without one, to any other controller. */
    fun reportTo(node: String?): ByteArray = writeJson {
        obj { if (node != null) writeStringField(Fields.ASSIGNED_CONTROLLER, node) }
    }
}
