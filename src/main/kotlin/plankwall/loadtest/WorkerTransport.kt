package plankwall.loadtest

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import plankwall.io.HttpClient
import plankwall.io.HttpOutcome
import plankwall.io.HttpReply
import plankwall.io.HttpRequest
import plankwall.io.HttpServer
import plankwall.model.Address
import plankwall.simulation.SimulatedWorker
import plankwall.wire.HeartbeatStatus
import plankwall.wire.WorkerCodec
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * The sockets of the simulated workers. Each worker has one connection to a controller and one listener for commands.
 */
class WorkerTransport(private val cluster: LoadTestCluster) {
    /** The connection of a worker to the controller at index [node]. Only the worker's [IoThread] uses it. */
    private class ControllerLink(val node: Int, val client: HttpClient)

    /** Records when a worker was last served. */
    class ServiceRecord {
        /**
         * The time at which the worker sent the heartbeat whose answer (status 200) arrived last, in seconds on the
         * cluster's clock; negative if no heartbeat was answered yet.
         */
        var lastServedSentAtS = -1.0
    }

    /** The addresses of the workers' listeners, by slot. */
    private val listenerAddresses = ArrayList<Address>()

    /** The worker that was attached last to each slot. */
    private val workersBySlot = HashMap<Int, SimulatedWorker>()
    private val links = ConcurrentHashMap<String, ControllerLink>()
    private val ioThreads = List(IO_THREADS) { IoThread("workers-$it") }
    private val serviceRecords = HashMap<String, ServiceRecord>()
    private var apiAddresses: List<Address> = emptyList()

    /** Zones whose workers' heartbeats are lost before they reach a controller. Faults change it. */
    val zonesLosingHeartbeats: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Zones whose workers receive neither answers nor commands. Faults change it. */
    val zonesLosingAnswers: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** The share of the heartbeats of which a copy arrives later, at a random controller. Faults change it. */
    @Volatile
    var repeatedHeartbeatShare = 0.0

    /** The number of copies of heartbeats that were sent. */
    val repeatedHeartbeats = AtomicInteger()

    /**
     * Opens a listener for each of [count] workers. [apiAddresses] are the addresses at which the controllers serve
     * them.
     */
    suspend fun openListeners(count: Int, apiAddresses: List<Address>) {
        this.apiAddresses = apiAddresses
        repeat(count) { slot ->
            val ioThread = ioThreadOf(slot)
            val server =
                HttpServer(ioThread.scope, ioThread.selector, MAX_COMMAND_CONNECTIONS) { handleCommand(slot, it) }
            listenerAddresses.add(boundAddress(server.start(Address(LOOPBACK, 0))))
        }
    }

    /** Closes the sockets of all workers. */
    fun close() = ioThreads.forEach { it.close() }

    private fun ioThreadOf(slot: Int): IoThread = ioThreads[slot % ioThreads.size]

    /**
     * Returns the address of the listener of the machine [id]. There are as many listeners as the plan has workers, so
     * a machine that is rented later gets the listener of an earlier one.
     */
    fun addressOf(id: String): String = listenerAddresses[slotOf(id)].toString()

    /** Returns the slot of the machine [id]: the index of its listener, derived from the number in its name. */
    private fun slotOf(id: String): Int = id.substring(ID_PREFIX_LENGTH).toInt() % listenerAddresses.size

    /** Delivers commands to [worker] that arrive at the address of its machine. Called when the worker is created. */
    fun attachWorker(worker: SimulatedWorker) {
        workersBySlot[slotOf(worker.id)] = worker
        serviceRecords[worker.id] = ServiceRecord()
    }

    /**
     * Returns the share of the workers that had a heartbeat answered which they sent after [sinceS], in seconds on the
     * cluster's clock; 0 if there are no workers.
     */
    fun servedSince(sinceS: Double): Double {
        val workers = cluster.cloud.workers
        return if (workers.isEmpty()) {
            0.0
        } else {
            workers.count { (serviceRecords[it.id]?.lastServedSentAtS ?: -1.0) > sinceS } /
                workers.size.toDouble()
        }
    }

    /**
     * Sends [heartbeat] to the controller at index [node]. [onAnswer] gets the answer on the cluster's thread, with
     * status 503 if the request failed; it is not called if a fault loses the heartbeat or its answer.
     */
    fun sendHeartbeat(
        worker: SimulatedWorker,
        node: Int,
        heartbeat: HeartbeatStatus,
        onAnswer: (status: Int, body: JsonNode) -> Unit,
    ) {
        val sentAtS = cluster.clock.now
        val body = WorkerCodec.writeHeartbeat(heartbeat)
        cluster.meters.nodes[node].heartbeats++
        val ioThread = ioThreadOf(slotOf(worker.id))
        if (repeatedHeartbeatShare > 0 && cluster.random.nextDouble() < repeatedHeartbeatShare) {
            repeatLater(body, ioThread)
        }
        ioThread.scope.launch {
            if (worker.group.zone in zonesLosingHeartbeats) return@launch
            val outcome = clientFor(
                worker,
                node,
                ioThread,
            ).call("POST", "/checkin", body, (SimulatedWorker.ANSWER_TIMEOUT_S * 1000).toLong())
            if (worker.group.zone in zonesLosingAnswers) return@launch
            val answer = if (outcome is HttpOutcome.Answered) {
                SimulatedWorker.json.readTree(outcome.body)
            } else {
                JsonNodeFactory.instance.nullNode()
            }
            cluster.runOnClusterThread { handleAnswer(worker, outcome, sentAtS, answer, onAnswer) }
        }
    }

    /** Sends a copy of the heartbeat [body] later; its answer reaches no one. */
    private fun repeatLater(body: ByteArray, ioThread: IoThread) {
        val leaseS = cluster.settings.workers.leaseS
        val delayS = MIN_REPETITION_DELAY_S + cluster.random.nextDouble() * 2 * leaseS
        val address = apiAddresses[cluster.random.nextInt(apiAddresses.size)]
        ioThread.scope.launch {
            delay((delayS * 1000).toLong())
            repeatedHeartbeats.incrementAndGet()
            HttpClient(ioThread.selector, address, maxConnections = 1, maxCallsInProgress = 1, keepAlive = false)
                .call("POST", "/checkin", body, (SimulatedWorker.ANSWER_TIMEOUT_S * 1000).toLong())
        }
    }

    /** Returns the client of [worker] for [node], and replaces the one for the controller that it used before. */
    private fun clientFor(worker: SimulatedWorker, node: Int, ioThread: IoThread): HttpClient {
        val existing = links[worker.id]
        if (existing != null && existing.node == node) return existing.client
        existing?.client?.closeIdle()
        val client = HttpClient(ioThread.selector, apiAddresses[node], maxConnections = 1, maxCallsInProgress = 2)
        links[worker.id] = ControllerLink(node, client)
        return client
    }

    private fun handleAnswer(
        worker: SimulatedWorker,
        outcome: HttpOutcome,
        sentAtS: Double,
        answer: JsonNode,
        onAnswer: (Int, JsonNode) -> Unit,
    ) {
        if (outcome !is HttpOutcome.Answered) {
            cluster.meters.heartbeatsFailed++
            return onAnswer(NO_ANSWER_STATUS, answer)
        }
        val latencyS = cluster.clock.now - sentAtS
        cluster.meters.latencies.heartbeat.recordSeconds(latencyS)
        if (outcome.status == 200) {
            cluster.meters.heartbeatsServed++
            if (latencyS <= 1.0) cluster.meters.heartbeatsWithin1S++
            serviceRecords[worker.id]?.lastServedSentAtS = sentAtS
        }
        onAnswer(outcome.status, answer)
    }

    /**
     * Answers a command or a status request. It never answers if no worker uses [slot], or if a fault cuts the worker
     * off: the request then runs into its timeout.
     */
    private suspend fun handleCommand(slot: Int, request: HttpRequest): HttpReply {
        val command = if (request.path == "/status") null else SimulatedWorker.json.readTree(request.body)
        val answer = cluster.runOnClusterThread {
            val worker = workersBySlot[slot]?.takeIf { it.group.zone !in zonesLosingAnswers }
            if (command == null) worker?.let { 200 to it.heartbeat() } else worker?.command(command)
        } ?: awaitCancellation()
        return HttpReply(answer.first, WorkerCodec.writeHeartbeat(answer.second))
    }

    companion object {
        /** The address at which all parts of a load test listen. */
        const val LOOPBACK = "127.0.0.1"

        /** The number of characters before the number in the name of a machine. */
        private const val ID_PREFIX_LENGTH = 2

        private const val IO_THREADS = 3
        private const val MIN_REPETITION_DELAY_S = 2.0
        private const val MAX_COMMAND_CONNECTIONS = 8

        /** The status that a worker gets if the request failed. A worker treats all statuses but 200 and 421 alike. */
        private const val NO_ANSWER_STATUS = 503

        /** Returns the address that [listener] is bound to. */
        internal fun boundAddress(listener: ServerSocket): Address =
            Address(LOOPBACK, (listener.localAddress as InetSocketAddress).port)
    }
}
