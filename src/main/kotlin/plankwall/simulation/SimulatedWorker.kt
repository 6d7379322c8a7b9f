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

/**
 * A worker on a simulated machine, as the protocol specifies it: it sends heartbeats, executes the orders in their
 * answers, rejects those of older leaders by their token, and kills its tasks when its lease expires.
 * [id] is that of the machine, [group] its type, zone and rental kind.
 */
class SimulatedWorker(
    private val host: WorkerHost,
    val id: String,
    val group: GroupKey,
    val address: String = addressOf(id),
) {
    /** An attempt to run one task of a job; it is kept after its end until an order clears it or the lease expires. */
    private class Task(val spec: JobSpec, val number: Int, val attempt: Long) {
        var stage = TaskStage.FETCHING
        var cause: ExitCause? = null
    }

    private val clock = host.clock
    private val tasks = LinkedHashMap<String, Task>()

    /** Rises when the lease expires, so that a command for the time before is rejected. */
    private var session = 1L
    private var sequenceNumber = 0L

    /** The highest fencing token in an answer or command so far; it rises with each leader. */
    private var lastToken = 0L

    /** The time at which the last answered heartbeat was sent: the lease runs from then. */
    private var leaseStartedAt = clock.now

    /** Index of the controller that gets the next heartbeat. */
    private var targetNode = host.random.nextInt(host.nodeNames.size)
    private var isAlive = true
    private var isDead = false

    /** The number of restarts; what an earlier run scheduled or sent has no effect any more. */
    private var run = 0
    private var isAwaitingAnswer = false
    private var lastSentAt = -10.0

    private var hungUntil = 0.0

    /** Whether the machine hangs: it executes neither tasks nor commands, while its lease runs on. */
    val isHung: Boolean get() = clock.now < hungUntil

    /** Makes the machine hang for [durationS] seconds, or longer if it already hangs for longer. */
    fun hang(durationS: Double) {
        hungUntil = maxOf(hungUntil, clock.now + durationS)
    }

    /** Runs [action] at once, or, if the machine hangs, after it resumes; deferred actions run in order. */
    fun runWhenResumed(action: () -> Unit) {
        if (isHung) clock.after(hungUntil - clock.now + 0.001) { runWhenResumed(action) } else action()
    }

    /** Whether every task that starts here fails; tasks that already run go on. */
    var failsEveryTask = false

    /** The number of tasks that run now. */
    val runningTasks: Int get() = tasks.values.count { it.stage == TaskStage.RUNNING }

    init {
        clock.after(0.01) { sendPeriodically(run) }
        clock.every(0.1) { if (isAlive) killTasksIfLeaseExpired() }
    }

    /** Ends the machine and all of its tasks permanently. */
    fun die() {
        isDead = true
        stop()
    }

    private fun stop() {
        isAlive = false
        tasks.keys.toList().forEach { host.checker.taskStopped(it, this, clock.now) }
        tasks.clear()
    }

    /**
     * Ends the worker with all of its tasks and starts it anew [afterS] seconds later, as on a machine that reboots. It
     * goes on with the next sequence number, and in the same session unless [inNewSession]: a late message from before
     * then finds the session that it is meant for.
     */
    fun restart(afterS: Double, inNewSession: Boolean) {
        if (!isAlive) return
        stop()
        clock.after(afterS) {
            if (isDead) return@after
            run++
            if (inNewSession) session++
            leaseStartedAt = clock.now
            isAwaitingAnswer = false
            isAlive = true
            sendPeriodically(run)
        }
    }

    /** Kills all tasks and begins a new session if the lease has expired. */
    private fun killTasksIfLeaseExpired() {
        if (clock.now - leaseStartedAt <= host.settings.workers.leaseS) return
        val killed = tasks.values.count { it.stage != TaskStage.EXITED }
        host.onLeaseExpired(this, killed)
        tasks.keys.toList().forEach { host.checker.taskStopped(it, this, clock.now) }
        tasks.clear()
        session++
        leaseStartedAt = clock.now
    }

    private fun sendPeriodically(ownRun: Int) {
        if (!isAlive || ownRun != run) return
        send()
        clock.after(host.settings.workers.heartbeatIntervalS * (0.75 + host.random.nextDouble() / 2)) {
            sendPeriodically(ownRun)
        }
    }

    /** Sends a heartbeat 0.5 s after a change, unless another was sent in the meantime. */
    private fun scheduleChangeHeartbeat() {
        clock.after(0.5) { if (isAlive && clock.now - lastSentAt >= 0.5) send() }
    }

    private fun send() {
        if (isAwaitingAnswer || !isAlive || isHung) return
        isAwaitingAnswer = true
        lastSentAt = clock.now
        SentHeartbeat().send()
    }

    /** A heartbeat that was sent; it is settled once, by an answer, a redirect to another controller, or a failure. */
    private inner class SentHeartbeat {
        private val sentAt = clock.now
        private val sentSession = session
        private val sentRun = run
        private var isSettled = false

        fun send() {
            clock.after(ANSWER_TIMEOUT_S) { runWhenResumed { retryAtNextNode() } }
            host.sendHeartbeat(this@SimulatedWorker, targetNode, heartbeat()) { status, body ->
                runWhenResumed { onAnswer(status, body) }
            }
        }

        private fun markSettled() {
            isSettled = true
            isAwaitingAnswer = false
        }

        private fun retryAtNextNode() {
            if (isSettled || sentRun != run) return
            markSettled()
            targetNode = (targetNode + 1) % host.nodeNames.size
            clock.after(1.0) { this@SimulatedWorker.send() }
        }

        private fun onAnswer(status: Int, body: JsonNode) {
            if (isSettled || !isAlive || sentRun != run || clock.now - sentAt > ANSWER_TIMEOUT_S) return
            when (status) {
                200 -> {
                    markSettled()
                    if (sentSession == session) acceptAnswer(body, sentAt)
                }
                421 -> redirect(host.nodeNames.indexOf(body.get("foreman")?.asText()))
                else -> retryAtNextNode()
            }
        }

        private fun redirect(node: Int) {
            if (node < 0 || node == targetNode) return retryAtNextNode()
            targetNode = node
            markSettled()
            clock.after(0.2) { this@SimulatedWorker.send() }
        }
    }

    /** Renews the lease and executes the orders in [body], unless the answer comes from an older leader. */
    private fun acceptAnswer(body: JsonNode, sentAt: Double) {
        val answeredToken = body.get("baton").asLong()
        if (answeredToken < lastToken) return
        if (answeredToken > lastToken) {
            lastToken = answeredToken
            scheduleChangeHeartbeat()
        }
        leaseStartedAt = maxOf(leaseStartedAt, sentAt)
        executeOrders(body)
    }

    /**
     * Executes a direct command and returns the status with a new heartbeat: 200 if executed, 409 if the command is
     * from an older leader or for another session and nothing was done. Returns null if the machine is gone.
     */
    fun command(body: JsonNode): Pair<Int, HeartbeatStatus>? {
        if (!isAlive) return null
        killTasksIfLeaseExpired()
        if (body.get("baton").asLong() < lastToken || body.get("watch").asLong() != session) return 409 to heartbeat()
        if (body.get("baton").asLong() > lastToken) {
            lastToken = body.get("baton").asLong()
            scheduleChangeHeartbeat()
        }
        executeOrders(body)
        return 200 to heartbeat()
    }

    private fun executeOrders(body: JsonNode) {
        for (order in body.get("orders")) {
            val taskName = order.get("piece").asText()
            val attempt = order.get("try").asLong()
            when (order.get("verb").asText()) {
                "run" -> if (tasks[taskName] == null) startTask(taskName, attempt)
                "stop" -> stopTask(taskName, attempt)
                "clear" -> forgetTask(taskName, attempt)
            }
        }
    }

    private fun stopTask(taskName: String, attempt: Long) {
        val task = tasks[taskName]?.takeIf { it.attempt == attempt && it.stage != TaskStage.EXITED } ?: return
        endTask(taskName, task, ExitCause.STOPPED)
    }

    private fun forgetTask(taskName: String, attempt: Long) {
        val task = tasks[taskName]?.takeIf { it.attempt == attempt && it.stage == TaskStage.EXITED } ?: return
        if (task.cause == ExitCause.DONE) host.checkStored(task.spec.id, task.number)
        tasks.remove(taskName)
    }

    private fun startTask(taskName: String, attempt: Long) {
        val spec = host.specOf(taskName.substringBefore('/')) ?: return
        host.checker.startCommanded(spec.id, clock.now)
        val task = Task(spec, taskName.substringAfter('/').toInt(), attempt)
        tasks[taskName] = task
        scheduleChangeHeartbeat()
        clock.after(0.5 + host.random.nextDouble()) {
            runWhenResumed {
                killTasksIfLeaseExpired()
                if (!isAlive || tasks[taskName] !== task || task.stage == TaskStage.EXITED) return@runWhenResumed
                task.stage = TaskStage.RUNNING
                if (failsEveryTask || host.isFaulty(spec.id)) {
                    endTask(taskName, task, ExitCause.ERROR)
                    return@runWhenResumed
                }
                host.checker.taskStarted(taskName, spec, this, clock.now)
                host.onStarted(spec.id, task.number)
                scheduleChangeHeartbeat()
                if (spec.shape != Shape.SERVICE) {
                    clock.after(spec.estimateS) {
                        runWhenResumed {
                            killTasksIfLeaseExpired()
                            if (isAlive && tasks[taskName] === task && task.stage == TaskStage.RUNNING) {
                                host.checker.taskCompleted(taskName)
                                host.onCompleted(spec.id)
                                endTask(taskName, task, ExitCause.DONE)
                            }
                        }
                    }
                }
            }
        }
    }

    private fun endTask(taskName: String, task: Task, cause: ExitCause) {
        if (task.stage == TaskStage.RUNNING) host.checker.taskStopped(taskName, this, clock.now)
        task.stage = TaskStage.EXITED
        task.cause = cause
        scheduleChangeHeartbeat()
    }

    /** Builds the next heartbeat, with the stages of all tasks that the worker still knows. */
    fun heartbeat(): HeartbeatStatus = HeartbeatStatus(
        id, address, group.type, group.zone, group.spot, session, ++sequenceNumber, lastToken, null,
        tasks.map { (_, task) -> TaskStatus(task.spec.id, task.number, task.attempt, task.stage, task.cause, false) },
    )

    /** The JSON reader, the address scheme and the answer timeout of simulated workers. */
    companion object {
        /** The reader for the JSON bodies of answers and commands. */
        val json = ObjectMapper()

        /** Returns the address of the machine [id] in a simulated cluster; [id] is `i-` and a number. */
        fun addressOf(id: String): String = "addr:${id.substring(2).toInt() + 1}"

        /** The time that a worker waits for the answer to a heartbeat, in seconds. */
        const val ANSWER_TIMEOUT_S = 4.0
    }
}
