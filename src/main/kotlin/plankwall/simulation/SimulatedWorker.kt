package plankwall.simulation

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import plankwall.model.GroupKey
import plankwall.model.JobSpec
import plankwall.model.Shape
import plankwall.wire.ExitCause
import plankwall.wire.HeartbeatStatus
import plankwall.wire.TaskStage
import plankwall.wire.TaskStatus

/** A machine's worker as PROTOCOL describes it: reports, leases, tokens, sessions, tasks. */
class SimulatedWorker(
    private val host: WorkerHost,
    val id: String,
    val group: GroupKey,
    val address: String = addressOf(id),
) {
    private class Task(val spec: JobSpec, val task: Int, val attempt: Long) {
        var stage = TaskStage.FETCHING
        var cause: ExitCause? = null
    }

    private val clock = host.clock
    private val tasks = LinkedHashMap<String, Task>()
    private var session = 1L
    private var seq = 0L
    private var token = 0L
    private var leaseFrom = clock.now
    private var target = host.random.nextInt(host.nodeNames.size)
    private var alive = true
    private var waiting = false
    private var lastSent = -10.0

    private var hungUntil = 0.0

    /** Executes nothing, neither tasks nor commands, until it goes on; its lease runs out meanwhile as any other. */
    val hung: Boolean get() = clock.now < hungUntil

    fun hang(forS: Double) {
        hungUntil = maxOf(hungUntil, clock.now + forS)
    }

    /** At once, or when it goes on: what came meanwhile is worked off then, in order, after the lease was looked at. */
    fun whenResumed(action: () -> Unit) {
        if (hung) clock.after(hungUntil - clock.now + 0.001) { whenResumed(action) } else action()
    }

    /** Fails every task that it starts; those that run go on. */
    var failsEveryTask = false

    val runningTasks: Int get() = tasks.values.count { it.stage == TaskStage.RUNNING }

    init {
        clock.after(0.01) { loop() }
        clock.every(0.1) { if (alive) expire() }
    }

    fun die() {
        alive = false
        tasks.keys.toList().forEach { host.checker.taskStopped(it, this, clock.now) }
        tasks.clear()
    }

    private fun expire() {
        if (clock.now - leaseFrom <= host.settings.workers.leaseS) return
        val killed = tasks.values.count { it.stage != TaskStage.EXITED }
        host.onLeaseExpired(this, killed)
        tasks.keys.toList().forEach { host.checker.taskStopped(it, this, clock.now) }
        tasks.clear()
        session++
        leaseFrom = clock.now
    }

    private fun loop() {
        if (!alive) return
        send()
        clock.after(host.settings.workers.reportS * (0.75 + host.random.nextDouble() / 2)) { loop() }
    }

    private fun changed() {
        clock.after(0.5) { if (alive && clock.now - lastSent >= 0.5) send() }
    }

    private fun send() {
        if (waiting || !alive || hung) return
        waiting = true
        lastSent = clock.now
        SentHeartbeat().send()
    }

    /** A heartbeat in flight: answered, redirected, or failed, once. */
    private inner class SentHeartbeat {
        private val sentAt = clock.now
        private val sentSession = session
        private var settled = false

        fun send() {
            clock.after(ANSWER_TIMEOUT_S) { whenResumed { fail() } }
            host.sendHeartbeat(this@SimulatedWorker, target, heartbeat()) { status, body ->
                whenResumed { onAnswer(status, body) }
            }
        }

        private fun settle() {
            settled = true
            waiting = false
        }

        private fun fail() {
            if (settled) return
            settle()
            target = (target + 1) % host.nodeNames.size
            clock.after(1.0) { this@SimulatedWorker.send() }
        }

        private fun onAnswer(status: Int, body: JsonNode) {
            if (settled || !alive || clock.now - sentAt > ANSWER_TIMEOUT_S) return
            when (status) {
                200 -> {
                    settle()
                    if (sentSession == session) accept(body, sentAt)
                }
                421 -> redirect(host.nodeNames.indexOf(body.get("foreman")?.asText()))
                else -> fail()
            }
        }

        private fun redirect(node: Int) {
            if (node < 0 || node == target) return fail()
            target = node
            settle()
            clock.after(0.2) { this@SimulatedWorker.send() }
        }
    }

    private fun accept(body: JsonNode, sentAt: Double) {
        val given = body.get("baton").asLong()
        if (given < token) return
        if (given > token) {
            token = given
            changed()
        }
        leaseFrom = maxOf(leaseFrom, sentAt)
        execute(body)
    }

    /** A direct command: 200 if executed, 409 with nothing done otherwise; null from a machine that is gone. */
    fun command(body: JsonNode): Pair<Int, HeartbeatStatus>? {
        if (!alive) return null
        expire()
        if (body.get("baton").asLong() < token || body.get("watch").asLong() != session) return 409 to heartbeat()
        if (body.get("baton").asLong() > token) {
            token = body.get("baton").asLong()
            changed()
        }
        execute(body)
        return 200 to heartbeat()
    }

    private fun execute(body: JsonNode) {
        for (order in body.get("orders")) {
            val name = order.get("piece").asText()
            val attempt = order.get("try").asLong()
            when (order.get("verb").asText()) {
                "run" -> if (tasks[name] == null) start(name, attempt)
                "stop" -> stop(name, attempt)
                "clear" -> forget(name, attempt)
            }
        }
    }

    private fun stop(name: String, attempt: Long) {
        val task = tasks[name]?.takeIf { it.attempt == attempt && it.stage != TaskStage.EXITED } ?: return
        end(name, task, ExitCause.STOPPED)
    }

    private fun forget(name: String, attempt: Long) {
        val task = tasks[name]?.takeIf { it.attempt == attempt && it.stage == TaskStage.EXITED } ?: return
        if (task.cause == ExitCause.DONE) host.checkStored(task.spec.id, task.task)
        tasks.remove(name)
    }

    private fun start(name: String, attempt: Long) {
        val spec = host.specOf(name.substringBefore('/')) ?: return
        host.checker.startCommanded(spec.id, clock.now)
        val task = Task(spec, name.substringAfter('/').toInt(), attempt)
        tasks[name] = task
        changed()
        clock.after(0.5 + host.random.nextDouble()) {
            whenResumed {
                expire()
                if (!alive || tasks[name] !== task || task.stage == TaskStage.EXITED) return@whenResumed
                task.stage = TaskStage.RUNNING
                if (failsEveryTask || host.isFaulty(spec.id)) {
                    end(name, task, ExitCause.ERROR)
                    return@whenResumed
                }
                host.checker.taskStarted(name, spec, this, clock.now)
                host.onStarted(spec.id, task.task)
                changed()
                if (spec.shape != Shape.SERVICE) {
                    clock.after(spec.estimateS) {
                        whenResumed {
                            expire()
                            if (alive && tasks[name] === task && task.stage == TaskStage.RUNNING) {
                                host.checker.taskCompleted(name)
                                host.onCompleted(spec.id)
                                end(name, task, ExitCause.DONE)
                            }
                        }
                    }
                }
            }
        }
    }

    private fun end(name: String, task: Task, cause: ExitCause) {
        if (task.stage == TaskStage.RUNNING) host.checker.taskStopped(name, this, clock.now)
        task.stage = TaskStage.EXITED
        task.cause = cause
        changed()
    }

    fun heartbeat(): HeartbeatStatus = HeartbeatStatus(
        id, address, group.type, group.zone, group.spot, session, ++seq, token, null,
        tasks.map { (_, t) -> TaskStatus(t.spec.id, t.task, t.attempt, t.stage, t.cause, false) },
    )

    companion object {
        val json = ObjectMapper()

        /** Where a machine of a virtual cluster is reached. */
        fun addressOf(id: String): String = "addr:${id.substring(2).toInt() + 1}"

        /** How long a worker waits for an answer. */
        const val ANSWER_TIMEOUT_S = 4.0
    }
}
