package plankwall.loadtest

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import kotlinx.coroutines.awaitCancellation
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

/** The sockets of the hollow workers: one connection to a controller and one listener for commands each. */
class WorkerTransport(private val cluster: LoadTestCluster) {
    /** Used on the worker's lane alone. */
    private class Link(val node: Int, val client: HttpClient)

    /** What the run knows of one worker. */
    class Served {
        /** When the newest answered report was sent; negative: none was. */
        var sentAt = -1.0
    }

    private val slots = ArrayList<Address>()
    private val bySlot = HashMap<Int, SimulatedWorker>()
    private val links = ConcurrentHashMap<String, Link>()
    private val ioThreads = List(IO_THREADS) { IoThread("workers-$it") }
    private val served = HashMap<String, Served>()
    private var apiAddresses: List<Address> = emptyList()

    /** Zones whose workers' reports arrive nowhere. */
    val zonesLosingHeartbeats: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Zones whose workers get neither answers nor commands. */
    val zonesLosingAnswers: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Opens a listener for each of [count] workers. [apiAddresses]: where the controllers serve workers. */
    suspend fun open(count: Int, apiAddresses: List<Address>) {
        this.apiAddresses = apiAddresses
        repeat(count) { slot ->
            val ioThread = ioThreadOf(slot)
            val server = HttpServer(ioThread.scope, ioThread.selector, MAX_COMMAND_CONNECTIONS) { handle(slot, it) }
            slots.add(boundAddress(server.start(Address(LOOPBACK, 0))))
        }
    }

    fun close() = ioThreads.forEach { it.close() }

    private fun ioThreadOf(slot: Int): IoThread = ioThreads[slot % ioThreads.size]

    /** Where the machine [id] is reached; machines that come later take over the slots of those before. */
    fun addressOf(id: String): String = slots[slotOf(id)].toString()

    private fun slotOf(id: String): Int = id.substring(ID_PREFIX).toInt() % slots.size

    fun attach(worker: SimulatedWorker) {
        bySlot[slotOf(worker.id)] = worker
        served[worker.id] = Served()
    }

    /** The share of the machines at work whose worker had a report answered that was sent after [time]. */
    fun servedSince(time: Double): Double {
        val workers = cluster.cloud.workers
        return if (workers.isEmpty()) {
            0.0
        } else {
            workers.count { (served[it.id]?.sentAt ?: -1.0) > time } /
                workers.size.toDouble()
        }
    }

    fun send(
        worker: SimulatedWorker,
        node: Int,
        heartbeat: HeartbeatStatus,
        then: (status: Int, body: JsonNode) -> Unit,
    ) {
        val sentAt = cluster.clock.now
        val body = WorkerCodec.writeReport(heartbeat)
        cluster.meters.nodes[node].heartbeats++
        val ioThread = ioThreadOf(slotOf(worker.id))
        ioThread.scope.launch {
            if (worker.group.zone in zonesLosingHeartbeats) return@launch
            val outcome = linkTo(
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
            cluster.onThread { answered(worker, outcome, sentAt, answer, then) }
        }
    }

    private fun linkTo(worker: SimulatedWorker, node: Int, ioThread: IoThread): HttpClient {
        val known = links[worker.id]
        if (known != null && known.node == node) return known.client
        known?.client?.closeIdle()
        val client = HttpClient(ioThread.selector, apiAddresses[node], maxConnections = 1, maxWaiting = 2)
        links[worker.id] = Link(node, client)
        return client
    }

    private fun answered(
        worker: SimulatedWorker,
        outcome: HttpOutcome,
        sentAt: Double,
        answer: JsonNode,
        then: (Int, JsonNode) -> Unit,
    ) {
        if (outcome !is HttpOutcome.Answered) {
            cluster.meters.heartbeatsFailed++
            return then(NO_ANSWER, answer)
        }
        val tookS = cluster.clock.now - sentAt
        cluster.meters.latencies.heartbeat.recordSeconds(tookS)
        if (outcome.status == 200) {
            cluster.meters.heartbeatsServed++
            if (tookS <= 1.0) cluster.meters.heartbeatsWithin1S++
            served[worker.id]?.sentAt = sentAt
        }
        then(outcome.status, answer)
    }

    private suspend fun handle(slot: Int, request: HttpRequest): HttpReply {
        val command = if (request.path == "/status") null else SimulatedWorker.json.readTree(request.body)
        val answer = cluster.onThread {
            val worker = bySlot[slot]?.takeIf { it.group.zone !in zonesLosingAnswers }
            if (command == null) worker?.let { 200 to it.heartbeat() } else worker?.command(command)
        } ?: awaitCancellation()
        return HttpReply(answer.first, WorkerCodec.writeReport(answer.second))
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
        private const val ID_PREFIX = 2
        private const val IO_THREADS = 3
        private const val MAX_COMMAND_CONNECTIONS = 8

        /** Stands for a connection that failed: to a worker, any status but 200 and 421 is the same. */
        private const val NO_ANSWER = 503

        internal fun boundAddress(listener: ServerSocket): Address =
            Address(LOOPBACK, (listener.localAddress as InetSocketAddress).port)
    }
}
