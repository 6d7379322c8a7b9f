package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser

enum class TaskStage { FETCHING, WAITING, RUNNING, SAVING, EXITED }

enum class ExitCause { DONE, STOPPED, PEERS, ALONE, ERROR, NO_ROOM, BUSY, UNKNOWN }

data class TaskStatus(
    val jobId: String,
    val task: Int,
    val attempt: Long,
    val stage: TaskStage,
    val cause: ExitCause?,
    val saved: Boolean,
)

/** One worker's word on itself. (`session`, `seq`) orders the words of one machine. */
data class HeartbeatStatus(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val session: Long,
    val seq: Long,
    val token: Long,
    val noticeS: Double?,
    val tasks: List<TaskStatus>,
)

enum class OrderOp(val word: String) { START("run"), STOP("stop"), FORGET("clear") }

data class Order(val op: OrderOp, val jobId: String, val task: Int, val attempt: Long, val graceS: Double = 0.0)

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
        "mates_gone" to ExitCause.PEERS,
        "incomplete" to ExitCause.ALONE,
        "error" to ExitCause.ERROR,
        "full" to ExitCause.NO_ROOM,
        "in_use" to ExitCause.BUSY,
        "unknown" to ExitCause.UNKNOWN,
    )

    fun readReport(bytes: ByteArray): HeartbeatStatus = parseJson(bytes) { p ->
        var machine = ""
        var address = ""
        var type = ""
        var zone = ""
        var spot = false
        var session = -1L
        var seq = -1L
        var token = -1L
        var notice: Double? = null
        val tasks = ArrayList<TaskStatus>()
        p.fields { name ->
            when (name) {
                "berth" -> machine = text(name)
                "address" -> address = text(name)
                "build" -> type = text(name)
                "yard" -> zone = text(name)
                "loaners" -> spot = flag(name)
                "watch" -> session = whole(name)
                "tally" -> seq = whole(name)
                "baton" -> token = whole(name)
                "recall_s" -> notice = doubleOrNull(name)
                "pieces" -> elements { tasks.add(task()) }
            }
        }
        if (machine.isEmpty() ||
            session < 0 ||
            seq < 0 ||
            token < 0
        ) {
            throw MalformedMessageException("report: a field is missing")
        }
        HeartbeatStatus(machine, address, type, zone, spot, session, seq, token, notice, tasks)
    }

    private val stageWords = stages.entries.associate { (word, stage) -> stage to word }
    private val causeWords = causes.entries.associate { (word, cause) -> cause to word }

    /** A report as a worker sends it, for stand-ins. */
    fun writeReport(r: HeartbeatStatus): ByteArray = writeJson {
        obj {
            writeStringField("berth", r.machine)
            writeStringField("address", r.address)
            writeStringField("build", r.type)
            writeStringField("yard", r.zone)
            writeBooleanField("loaners", r.spot)
            writeNumberField("watch", r.session)
            writeNumberField("tally", r.seq)
            writeNumberField("baton", r.token)
            r.noticeS?.let { writeNumberField("recall_s", it) }
            arr("pieces") { r.tasks.forEach { obj { taskFields(it) } } }
        }
    }

    private fun JsonGenerator.taskFields(t: TaskStatus) {
        writeStringField("piece", "${t.jobId}/${t.task}")
        writeNumberField("try", t.attempt)
        writeStringField("stage", stageWords.getValue(t.stage))
        t.cause?.let { writeStringField("cause", causeWords.getValue(it)) }
        if (t.saved) writeBooleanField("kept", true)
    }

    private fun JsonParser.task(): TaskStatus {
        var piece = ""
        var attempt = -1L
        var stage: TaskStage? = null
        var cause: ExitCause? = null
        var saved = false
        fields { name ->
            when (name) {
                "piece" -> piece = text(name)
                "try" -> attempt = whole(name)
                "stage" -> stage = stages[text(name)]
                "cause" -> cause = textOrNull(name)?.let { causes[it] }
                "kept" -> saved = currentToken() == com.fasterxml.jackson.core.JsonToken.VALUE_TRUE
            }
        }
        val slash = piece.lastIndexOf('/')
        val task = if (slash > 0) piece.substring(slash + 1).toIntOrNull() else null
        val known = stage
        // An entry that can't be read must not be taken for an absent one: absence is proof that a task is gone.
        if (task == null ||
            attempt < 0 ||
            known == null
        ) {
            throw MalformedMessageException("report: bad task entry '$piece'")
        }
        return TaskStatus(piece.substring(0, slash), task, attempt, known, cause, saved)
    }

    private fun JsonGenerator.orders(orders: List<Order>) = arr("orders") {
        orders.forEach { o ->
            obj {
                writeStringField("verb", o.op.word)
                writeStringField("piece", "${o.jobId}/${o.task}")
                writeNumberField("try", o.attempt)
                if (o.op == OrderOp.STOP) writeNumberField("wind_down_s", o.graceS)
            }
        }
    }

    fun answer(token: Long, orders: List<Order>): ByteArray = writeJson {
        obj {
            writeNumberField("baton", token)
            orders(orders)
        }
    }

    fun commands(token: Long, session: Long, orders: List<Order>): ByteArray = writeJson {
        obj {
            writeNumberField("baton", token)
            writeNumberField("watch", session)
            orders(orders)
        }
    }

    fun reportTo(node: String?): ByteArray = writeJson { obj { if (node != null) writeStringField("foreman", node) } }
}
