package plankwall.simulation

import plankwall.core.statemachine.Input
import plankwall.model.JobSpec

/**
 * Simulated users who submit, poll and cancel jobs as the protocol specifies; every answer is passed to the checker.
 */
class SimulatedUsers(private val cluster: SimulatedCluster) {
    private val clock = cluster.clock
    private val random = cluster.random
    private val checker = cluster.checker
    private val nodes: List<SimulatedController> get() = cluster.nodes

    /**
     * Submits [spec] until it is accepted, then polls the job; cancels it [cancelAfterS] seconds after the acceptance,
     * or never if null.
     */
    fun submit(spec: JobSpec, cancelAfterS: Double? = null) {
        cluster.register(spec)
        trySubmit(spec, cancelAfterS)
    }

    /** Polls a job that a controller of another version has accepted, as if it had been submitted here. */
    fun assumeAccepted(spec: JobSpec) {
        cluster.register(spec)
        checker.submissionAnswered(spec, 201, clock.now)
        clock.after(1.0) { poll(spec.id) }
    }

    private fun trySubmit(spec: JobSpec, cancelAfterS: Double?) {
        // Users submit a job only once all of its dependencies have been accepted.
        if (!spec.dependencies.all { checker.isAccepted(it) }) {
            clock.after(0.05) { trySubmit(spec, cancelAfterS) }
            return
        }
        // The load balancer tries the next node if one refuses the connection.
        val firstIndex = random.nextInt(nodes.size)
        val node =
            nodes.indices.map { nodes[(firstIndex + it) % nodes.size] }.firstOrNull { it.isUp } ?: nodes[firstIndex]
        var isAnswered = false
        submitOnce(spec, node) { status ->
            isAnswered = true
            if (status == 200 || status == 201) {
                onAccepted(spec, cancelAfterS)
            } else if (status >= 429) {
                clock.after(1.0) { trySubmit(spec, cancelAfterS) }
            }
        }
        clock.after(5.0) { if (!isAnswered) trySubmit(spec, cancelAfterS) }
    }

    private fun onAccepted(spec: JobSpec, cancelAfterS: Double?) {
        if (cluster.faults.concurrentRequests) requestAtAllNodes(spec.id)
        clock.after(1.0) { poll(spec.id) }
        if (cancelAfterS != null) clock.after(cancelAfterS) { cancel(spec.id) }
    }

    /** Sends the requests of [RetryingUsers.requestAtAllNodes] three times within 0.03 s. */
    private fun requestAtAllNodes(id: String, cancelled: Boolean = false) = listOf(0.0, 0.002, 0.03).forEach { delay ->
        clock.after(delay) { cluster.retryingUsers.requestAtAllNodes(id, cancelled) }
    }

    /** The job's stage in the [body] of an answer, or null in an error. */
    private fun stageIn(status: Int, body: ByteArray): String? =
        if (status >= 300) null else SimulatedWorker.json.readTree(body).get("stage")?.asText()

    /** Asks [node] for the status of the job [id] once; [onResult] gets whether the answer was 200 or 404. */
    fun queryStatus(id: String, node: SimulatedController, onResult: (answered: Boolean) -> Unit = {}) {
        val askedAt = clock.now
        node.sendRequest({ Input.Show(it, id) }) { status, body ->
            checker.statusAnswered(id, status, stageIn(status, body), clock.now, askedAt)
            onResult(status == 200 || status == 404)
        }
    }

    /** Submits [spec] to [node] once, without a retry; [onResult] gets the status of the answer. */
    fun submitOnce(spec: JobSpec, node: SimulatedController, onResult: (status: Int) -> Unit = {}) {
        val askedAt = clock.now
        node.sendRequest({ Input.Submit(it, spec) }) { status, body ->
            checker.submissionAnswered(spec, status, clock.now, stageIn(status, body), askedAt)
            onResult(status)
        }
    }

    /** Cancels the job [id] at [node] once, without a retry; [onResult] gets the status of the answer. */
    fun cancelOnce(id: String, node: SimulatedController, onResult: (status: Int) -> Unit = {}) {
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
            onResult(status)
        }
    }

    private fun poll(id: String) {
        var isAnswered = false
        queryStatus(id, nodes[random.nextInt(nodes.size)]) { isAnswered = it }
        clock.after(POLL_TIMEOUT_S) { checker.pollEnded(id, isAnswered, clock.now) }
        clock.after(POLL_EVERY_S / cluster.faults.pollFactor) { poll(id) }
    }

    /** Cancels the job [id] and repeats that every two seconds until an answer confirms it. */
    fun cancel(id: String) {
        var isConfirmed = false
        cancelOnce(id, nodes[random.nextInt(nodes.size)]) { status -> if (status == 200) isConfirmed = true }
        clock.after(2.0) { if (!isConfirmed) cancel(id) }
    }

    private companion object {
        const val POLL_EVERY_S = 5.0
        const val POLL_TIMEOUT_S = 2.0
    }
}
