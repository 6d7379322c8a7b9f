package plankwall.simulation

import plankwall.core.statemachine.Input
import plankwall.model.JobSpec

/** Users who submit, poll and cancel jobs as the protocol has it; the checker is notified of every answer. */
class SimulatedUsers(private val cluster: SimulatedCluster) {
    private val clock = cluster.clock
    private val random = cluster.random
    private val checker = cluster.checker
    private val nodes: List<SimulatedController> get() = cluster.nodes

    /** Submits until accepted, then polls; cancels [cancelAfter] seconds after the acceptance. */
    fun submit(spec: JobSpec, cancelAfter: Double? = null) {
        cluster.register(spec)
        trySubmit(spec, cancelAfter)
    }

    /** Polls a job that another version accepted as any other. */
    fun assumeAccepted(spec: JobSpec) {
        cluster.register(spec)
        checker.submissionAnswered(spec, 201, clock.now)
        clock.after(1.0) { poll(spec.id) }
    }

    private fun trySubmit(spec: JobSpec, cancelAfter: Double?) {
        // Users name only jobs that were accepted, and go on as soon as they are.
        if (!spec.dependencies.all { checker.isAccepted(it) }) {
            clock.after(0.05) { trySubmit(spec, cancelAfter) }
            return
        }
        // The load balancer tries another node where one refuses the connection.
        val first = random.nextInt(nodes.size)
        val node = nodes.indices.map { nodes[(first + it) % nodes.size] }.firstOrNull { it.up } ?: nodes[first]
        var answered = false
        submitOnce(spec, node) { status ->
            answered = true
            if (status == 200 || status == 201) {
                onAccepted(spec, cancelAfter)
            } else if (status >= 429) {
                clock.after(1.0) { trySubmit(spec, cancelAfter) }
            }
        }
        clock.after(5.0) { if (!answered) trySubmit(spec, cancelAfter) }
    }

    private fun onAccepted(spec: JobSpec, cancelAfter: Double?) {
        if (cluster.faults.concurrentRequests) requestAtAllNodes(spec.id)
        clock.after(1.0) { poll(spec.id) }
        if (cancelAfter != null) clock.after(cancelAfter) { cancel(spec.id) }
    }

    private fun requestAtAllNodes(id: String, cancelled: Boolean = false) = listOf(0.0, 0.002, 0.03).forEach { delay ->
        clock.after(delay) { cluster.retryingUsers.requestAtAllNodes(id, cancelled) }
    }

    private fun stageIn(status: Int, body: ByteArray): String? =
        if (status >= 300) null else SimulatedWorker.json.readTree(body).get("stage")?.asText()

    /** Asks [node] for the status of a job once; [then] gets whether it answered. */
    fun queryStatus(id: String, node: SimulatedController, then: (answered: Boolean) -> Unit = {}) {
        val askedAt = clock.now
        node.sendRequest({ Input.Show(it, id) }) { status, body ->
            checker.statusAnswered(id, status, stageIn(status, body), clock.now, askedAt)
            then(status == 200 || status == 404)
        }
    }

    /** Submits once, without a retry. */
    fun submitOnce(spec: JobSpec, node: SimulatedController, then: (status: Int) -> Unit = {}) {
        val askedAt = clock.now
        node.sendRequest({ Input.Submit(it, spec) }) { status, body ->
            checker.submissionAnswered(spec, status, clock.now, stageIn(status, body), askedAt)
            then(status)
        }
    }

    /** Cancels once, without a retry. */
    fun cancelOnce(id: String, node: SimulatedController, then: (status: Int) -> Unit = {}) {
        val askedAt = clock.now
        checker.cancelRequested(id)
        node.sendRequest({ Input.Cancel(it, id) }) { status, body ->
            stageIn(status, body)?.let { stage ->
                val isFirstAnswer = checker.finalStageOf(id) == null
                checker.cancelAnswered(id, stage, clock.now, askedAt)
                if (cluster.faults.concurrentRequests && isFirstAnswer && stage == "withdrawn") {
                    requestAtAllNodes(id, cancelled = true)
                }
            }
            then(status)
        }
    }

    private fun poll(id: String) {
        var answered = false
        queryStatus(id, nodes[random.nextInt(nodes.size)]) { answered = it }
        clock.after(POLL_TIMEOUT_S) { checker.pollEnded(id, answered, clock.now) }
        clock.after(POLL_EVERY_S / cluster.faults.pollFactor) { poll(id) }
    }

    /** Cancels the job [id], again every two seconds until that is confirmed. */
    fun cancel(id: String) {
        var confirmed = false
        cancelOnce(id, nodes[random.nextInt(nodes.size)]) { status -> if (status == 200) confirmed = true }
        clock.after(2.0) { if (!confirmed) cancel(id) }
    }

    private companion object {
        const val POLL_EVERY_S = 5.0
        const val POLL_TIMEOUT_S = 2.0
    }
}
