package plankwall.loadtest

import com.fasterxml.jackson.databind.JsonNode
import kotlinx.coroutines.delay
import plankwall.io.HttpClient
import plankwall.io.HttpOutcome
import plankwall.model.Address
import plankwall.model.JobSpec
import plankwall.simulation.SimulatedWorker
import plankwall.wire.JobCodec

/**
 * The requests of the simulated users, through a simulated load balancer that avoids a controller for some time after a
 * request without an answer. Each function sends one request, without a retry, and passes the answer to the rule
 * checker.
 */
class UserRequests(private val cluster: LoadTestCluster, private val apiAddresses: List<Address>) {
    /** An answer: its [status], 0 if there was none, and the [stage] of the job in it, if any. */
    class Answer(val status: Int, val stage: String?) {
        /** Whether the answer accepts a submission. */
        val isAccepted: Boolean get() = status == 200 || status == 201

        /** Whether the answer says that the job is over or cancelled. */
        val isFinal: Boolean get() = stage == "done" || stage == "withdrawn"
    }

    private val clients = apiAddresses.map {
        HttpClient(
            cluster.selector,
            it,
            maxConnections = CONNECTIONS_PER_NODE,
            maxCallsInProgress = MAX_WAITING_REQUESTS,
        )
    }

    /** The time from which the load balancer may use each controller again, in seconds on the cluster's clock. */
    private val avoidUntilS = DoubleArray(apiAddresses.size)

    /** The number of requests sent so far. */
    var count = 0L
        private set

    /** The indices of all controllers. */
    val nodes: IntRange = apiAddresses.indices

    /** Returns a random controller that the load balancer does not avoid; null, after a pause, if it avoids all. */
    suspend fun pickNode(): Int? {
        val healthy = apiAddresses.indices.filter { avoidUntilS[it] <= cluster.clock.now }
        if (healthy.isNotEmpty()) return healthy[cluster.random.nextInt(healthy.size)]
        delay(RETRY_DELAY_MS)
        return null
    }

    /** Submits [spec] to the controller at index [node]. */
    suspend fun submit(spec: JobSpec, node: Int): Answer {
        cluster.meters.nodes[node].submissions++
        return send("submission", "POST", JOBS_PATH, JobCodec.description(spec), node) { answer, askedAtS ->
            cluster.checker.submissionAnswered(spec, answer.status, cluster.clock.now, answer.stage, askedAtS)
        }
    }

    /** Asks the controller at index [node] for the status of the job [id]. */
    suspend fun query(id: String, node: Int): Answer {
        cluster.meters.nodes[node].polls++
        return send("poll", "GET", "$JOBS_PATH/$id", null, node) { answer, askedAtS ->
            cluster.checker.statusAnswered(id, answer.status, answer.stage, cluster.clock.now, askedAtS)
            if (answer.status == 200) cluster.meters.latencies.poll.recordSeconds(cluster.clock.now - askedAtS)
        }
    }

    /** Cancels the job [id] at the controller at index [node]. */
    suspend fun cancel(id: String, node: Int): Answer {
        cluster.meters.nodes[node].cancellations++
        cluster.checker.cancelRequested(id)
        return send("cancellation", "POST", "$JOBS_PATH/$id/withdraw", NO_BODY, node) { answer, askedAtS ->
            if (answer.status == 200 && answer.stage != null) {
                cluster.checker.cancelAnswered(id, answer.stage, cluster.clock.now, askedAtS)
            }
        }
    }

    private suspend fun send(
        requestName: String,
        method: String,
        path: String,
        body: ByteArray?,
        node: Int,
        onAnswer: (answer: Answer, askedAtS: Double) -> Unit,
    ): Answer {
        count++
        cluster.catchUpClock()
        val askedAtS = cluster.clock.now
        val timeoutMs = if (method == "GET") POLL_TIMEOUT_MS else CHANGE_TIMEOUT_MS
        val outcome = clients[node].call(method, path, body, timeoutMs)
        cluster.catchUpClock()
        val status = recordOutcome(requestName, node, outcome)
        val stage = if (status == 200 || status == 201) outcome.json()?.get("stage")?.asText() else null
        return Answer(status, stage).also { onAnswer(it, askedAtS) }
    }

    /**
     * Counts the outcome as a refusal unless it is a success, and makes the load balancer avoid [node] if there was no
     * answer. Returns the status, or 0 if there was no answer.
     */
    private fun recordOutcome(requestName: String, node: Int, outcome: HttpOutcome): Int {
        if (outcome is HttpOutcome.Answered) {
            if (outcome.status >= 300) cluster.meters.recordRefusal("$requestName ${outcome.status}")
            return outcome.status
        }
        cluster.meters.recordRefusal("$requestName without an answer")
        avoidUntilS[node] = cluster.clock.now + NODE_AVOIDANCE_S
        return 0
    }

    private fun HttpOutcome.json(): JsonNode? = (this as? HttpOutcome.Answered)?.takeIf {
        it.body.isNotEmpty()
    }?.let { SimulatedWorker.json.readTree(it.body) }

    companion object {
        /** The pause before a request is repeated that was not answered as the user wishes, in milliseconds. */
        const val RETRY_DELAY_MS = 1_000L

        /** The time after which a user stops repeating a request, in seconds, from PROTOCOL. */
        const val GIVE_UP_AFTER_S = 60.0

        private const val JOBS_PATH = "/api/jobs"
        private val NO_BODY = ByteArray(0)

        /** The limits of connections to one controller, and of requests that wait for one of them. */
        private const val CONNECTIONS_PER_NODE = 24
        private const val MAX_WAITING_REQUESTS = 4_000

        /** The users' timeouts for submissions and cancellations and for polls, from PROTOCOL. */
        private const val CHANGE_TIMEOUT_MS = 5_000L
        private const val POLL_TIMEOUT_MS = 2_000L

        /** The time for which the load balancer avoids a controller after a request without an answer, in seconds. */
        private const val NODE_AVOIDANCE_S = 3.0
    }
}
