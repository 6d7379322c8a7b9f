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
class WorkerTransport(private val site: LoadTestCluster) {
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
    private val lanes = List(LANES) { IoThread("workers-$it") }
    private val served = HashMap<String, Served>()
    private var fronts: List<Address> = emptyList()

    /** Zones whose workers' reports arrive nowhere. */
    val reportsLost: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Zones whose workers get neither answers nor commands. */
    val answersLost: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Opens a listener for each of [count] workers. [fronts]: where the controllers serve workers. */
    suspend fun open(count: Int, fronts: List<Address>) {
        this.fronts = fronts
        repeat(count) { slot ->
            val lane = laneOf(slot)
            val server = HttpServer(lane.scope, lane.selector, MAX_COMMAND_CONNECTIONS) { handle(slot, it) }
            slots.add(boundAddress(server.start(Address(LOOPBACK, 0))))
        }
    }

    fun close() = lanes.forEach { it.close() }

    private fun laneOf(slot: Int): IoThread = lanes[slot % lanes.size]

    /** Where the machine [id] is reached; machines that come later take over the slots of those before. */
    fun addressOf(id: String): String = slots[slotOf(id)].toString()

    private fun slotOf(id: String): Int = id.substring(ID_PREFIX).toInt() % slots.size

    fun attach(worker: SimulatedWorker) {
        bySlot[slotOf(worker.id)] = worker
        served[worker.id] = Served()
    }

    /** The share of the machines at work whose worker had a report answered that was sent after [time]. */
    fun servedSince(time: Double): Double {
        val workers = site.cloud.workers
        return if (workers.isEmpty()) {
            0.0
        } else {
            workers.count { (served[it.id]?.sentAt ?: -1.0) > time } /
                workers.size.toDouble()
        }
    }

    fun send(worker: SimulatedWorker, node: Int, report: HeartbeatStatus, then: (status: Int, body: JsonNode) -> Unit) {
        val sentAt = site.clock.now
        val body = WorkerCodec.writeReport(report)
        site.meters.nodes[node].reports++
        val lane = laneOf(slotOf(worker.id))
        lane.scope.launch {
            if (worker.group.zone in reportsLost) return@launch
            val outcome = linkTo(
                worker,
                node,
                lane,
            ).call("POST", "/checkin", body, (SimulatedWorker.PATIENCE_S * 1000).toLong())
            if (worker.group.zone in answersLost) return@launch
            val answer = if (outcome is HttpOutcome.Answered) {
                SimulatedWorker.json.readTree(
                    outcome.body,
                )
            } else {
                JsonNodeFactory.instance.nullNode()
            }
            site.onThread { answered(worker, node, outcome, sentAt, answer, then) }
        }
    }

    private fun linkTo(worker: SimulatedWorker, node: Int, lane: IoThread): HttpClient {
        val known = links[worker.id]
        if (known != null && known.node == node) return known.client
        known?.client?.closeIdle()
        val client = HttpClient(lane.selector, fronts[node], maxConnections = 1, maxWaiting = 2)
        links[worker.id] = Link(node, client)
        return client
    }

    private fun answered(
        worker: SimulatedWorker,
        node: Int,
        outcome: HttpOutcome,
        sentAt: Double,
        answer: JsonNode,
        then: (Int, JsonNode) -> Unit,
    ) {
        if (outcome !is HttpOutcome.Answered) {
            site.meters.reportsFailed++
            return then(NO_ANSWER, answer)
        }
        val tookS = site.clock.now - sentAt
        site.meters.latencies.report.noteS(tookS)
        if (outcome.status == 200) {
            site.meters.reportsServed++
            if (tookS <= 1.0) site.meters.reportsWithin1S++
            served[worker.id]?.sentAt = sentAt
        }
        then(outcome.status, answer)
    }

    private suspend fun handle(slot: Int, request: HttpRequest): HttpReply {
        val command = if (request.path == "/status") null else SimulatedWorker.json.readTree(request.body)
        val answer = site.onThread {
            val worker = bySlot[slot]?.takeIf { it.group.zone !in answersLost }
            if (command == null) worker?.let { 200 to it.report() } else worker?.command(command)
        } ?: awaitCancellation()
        return HttpReply(answer.first, WorkerCodec.writeReport(answer.second))
    }

    companion object {
        const val LOOPBACK = "127.0.0.1"
        private const val ID_PREFIX = 2
        private const val LANES = 3
        private const val MAX_COMMAND_CONNECTIONS = 8

        /** Stands for a connection that failed: to a worker, any status but 200 and 421 is the same. */
        private const val NO_ANSWER = 503

        internal fun boundAddress(listener: ServerSocket): Address =
            Address(LOOPBACK, (listener.localAddress as InetSocketAddress).port)
    }
}
