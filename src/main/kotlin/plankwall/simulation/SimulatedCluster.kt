package plankwall.simulation

import com.fasterxml.jackson.databind.JsonNode
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.gateway.GatewaySettings
import plankwall.model.Address
import plankwall.model.Catalog
import plankwall.model.CloudLimits
import plankwall.model.JobSpec
import plankwall.model.MachineType
import plankwall.model.Objective
import plankwall.model.Peer
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Settings
import plankwall.model.Shape
import plankwall.model.StateLimits
import plankwall.model.Team
import plankwall.model.Tuning
import plankwall.model.WorkerTimes
import plankwall.wire.HeartbeatStatus
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.PageRecord
import java.util.Random

/**
 * A cluster in virtual time: real controller cores; store, cloud, workers, users and network are stand-ins. Everything
 * random follows from [seed].
 */
class SimulatedCluster(
    seed: Long,
    nodeCount: Int = 3,
    internal val tuning: Tuning = Tuning(),
    private val stateNext: StateLimits? = null,
    internal val gatewaySettings: ((node: String) -> GatewaySettings?)? = null,
    objectives: List<Objective> = emptyList(),
    times: WorkerTimes? = null,
) : WorkerHost {
    override val random = Random(seed)
    override val clock = SimulatedClock()
    override val settings: Settings = settings("n0", nodeCount).let {
        it.copy(
            stateNext = stateNext,
            objectives = objectives,
            workers = times ?: it.workers,
        )
    }
    override val checker = RuleChecker(settings)
    val state = SimulatedStore(clock, settings.state)
    val nodes =
        List(nodeCount) {
            SimulatedController(
                this,
                "n$it",
                settings(
                    "n$it",
                    nodeCount,
                ).copy(stateNext = stateNext, objectives = objectives, workers = settings.workers),
            )
        }
    val cloud = SimulatedCloud(clock, random, CATALOG, 4.0) { id, group -> SimulatedWorker(this, id, group) }
    private val specs = HashMap<String, JobSpec>()

    /** The faults that are injected at present. */
    val faults = InjectedFaults()

    /** The links, each direction by itself. */
    val network = SimulatedNetwork(clock)
    private val heartbeats = HeartbeatDelivery(this)

    /** Tasks that workers killed as their lease ran out. */
    var tasksKilledByLease = 0

    /** Called when a worker's lease expired while tasks ran on it. */
    var onTasksKilledByLease: (worker: SimulatedWorker, tasks: Int) -> Unit = { _, _ -> }

    /** Called when a worker's heartbeat arrives at a node that is up, while the worker still waits for an answer. */
    var onHeartbeatReceived: (worker: SimulatedWorker, node: SimulatedController) -> Unit = { _, _ -> }

    /** Called when a node answers a worker's heartbeat with 200. */
    var onHeartbeatServed: (worker: SimulatedWorker, node: SimulatedController) -> Unit = { _, _ -> }

    /** Carries a frame between two controllers; it can be lost or arrive twice. */
    internal fun sendFrame(from: SimulatedController, to: SimulatedController, bytes: ByteArray) {
        if (faults.frameLoss > 0 && random.nextDouble() < faults.frameLoss) return faults.count("frames lost")
        network.carry(from.name, to.name) { if (to.up) to.onFrame(bytes) }
        if (faults.lateFrameCopies == 0.0 || random.nextDouble() >= faults.lateFrameCopies) return
        clock.after(random.nextDouble() * LATEST_FRAME_S) {
            faults.count("late frames")
            if (to.up) to.onFrame(bytes)
        }
    }

    /** How many times a controller has become leader. */
    var elections = 0
        private set

    /** Users who submit, poll and cancel. */
    val users = SimulatedUsers(this)

    /** Users who repeat requests and send invalid ones. */
    val retryingUsers = RetryingUsers(this)

    private val completed = HashMap<String, Int>()

    override fun onCompleted(id: String) {
        if (completed.merge(id, 1, Int::plus) != specs[id]?.tasks) return
        if (faults.cancelAtCompletion > 0 && random.nextDouble() < faults.cancelAtCompletion) {
            faults.count("cancelled at its end")
            faults.cancelledAtCompletion.add(id)
            clock.after(random.nextDouble() * 0.6) { cancel(id) }
        }
        if (faults.concurrentRequests) {
            listOf(0.0, 0.05, 0.3, 0.6, 1.2).forEach {
                clock.after(it) { retryingUsers.requestAtAllNodes(id) }
            }
        }
    }

    internal fun onElected(node: SimulatedController) {
        elections++
        heartbeats.replayCopies(node)
    }

    /** Called before each effect is carried out; a controller that it crashes carries out no more of them. */
    var onEffect: (SimulatedController, Effect) -> Unit = { _, _ -> }

    /** The wall clock of virtual time, in milliseconds since 1970. */
    fun wallMs(): Long = (clock.now * 1000).toLong() + 1_700_000_000_000

    init {
        nodes.forEach { it.start() }
        clock.every(0.5) { checker.checkCancelled(clock.now) }
        clock.every(5.0) { checker.checkStalled(healthyWorkers(), clock.now) }
    }

    override val nodeNames: List<String> by lazy { nodes.map { it.name } }

    override fun isFaulty(id: String): Boolean = id in faults.faultyJobs

    override fun onStarted(id: String, task: Int) = Unit

    override fun onLeaseExpired(worker: SimulatedWorker, tasks: Int) {
        tasksKilledByLease += tasks
        if (tasks > 0) onTasksKilledByLease(worker, tasks)
    }

    override fun sendHeartbeat(
        worker: SimulatedWorker,
        node: Int,
        heartbeat: HeartbeatStatus,
        then: (status: Int, body: JsonNode) -> Unit,
    ) = heartbeats.send(worker, nodes[node], heartbeat, then)

    private fun healthyWorkers(): Map<SimulatedWorker, Resources> = cloud.workers
        .filter {
            !it.hung &&
                !it.failsEveryTask &&
                it.id !in faults.inboundBlocked &&
                it.id !in faults.outboundBlocked &&
                it.group.zone !in faults.cutZones
        }
        .associateWith { cloud.catalog[it.group.type]?.capacity ?: Resources.NONE }

    override fun specOf(id: String): JobSpec? = specs[id]

    /**
     * Records a violation where a worker forgets that a task of [id] is done before the completion is stored: the next
     * leader would run the task again.
     */
    override fun checkStored(id: String, task: Int) {
        val live = state.value(Keys.job(id)) as? JobRecord ?: return
        if (live.cancelledMs > 0 || state.value(Keys.final(id)) != null) return
        if (state.values(Keys.pages(id)).none { it is PageRecord && it.done[task] }) {
            checker.violations.add("lost_end: $id/$task was cleared and is not stored")
        }
    }

    /** Makes the description of a job known to workers; it replaces that of an earlier submission. */
    internal fun register(spec: JobSpec) {
        specs[spec.id] = spec
    }

    /** Makes the description of a job known to workers that somebody else will submit. */
    fun expect(spec: JobSpec) {
        specs.putIfAbsent(spec.id, spec)
    }

    /** Submits [spec] as [SimulatedUsers.submit] does. */
    fun submit(spec: JobSpec, cancelAfter: Double? = null) = users.submit(spec, cancelAfter)

    /** Cancels the job [id] as [SimulatedUsers.cancel] does. */
    fun cancel(id: String) = users.cancel(id)

    /** The stage that a controller reports for the job [id] now, or `status N`; virtual time moves on by 0.2 s. */
    fun stageOf(id: String): String? {
        var found: String? = null
        nodes.first { it.up }.sendRequest({ Input.Show(it, id) }) { status, body ->
            found = if (status == 200) SimulatedWorker.json.readTree(body).get("stage").asText() else "status $status"
        }
        clock.runUntil(clock.now + 0.2)
        return found
    }

    companion object {
        private const val LATEST_FRAME_S = 8.0
        private val BIG = Resources(16_000, 4_000, 64_000)
        val CATALOG = Catalog(listOf(MachineType("box", BIG, 100.0, 1.0, 10.0, 3.0, 10.0, listOf("a", "b"))))

        fun settings(node: String, nodes: Int) = Settings(
            node, "a", Address("x", 1), Address("x", 2),
            (0 until nodes).map { "n$it" }.filter { it != node }.map { Peer(it, "a", "x", 2) },
            Address("x", 3), Address("x", 4), listOf("a", "b"), 5.0,
            listOf(Team("red", 0, 0, 8_000, 16_000), Team("blue", 0, 0, 0, 0)), emptyList(),
            WorkerTimes(3.0, 15.0, 30.0, 5.0, 40.0), StateLimits(250.0, 100.0, 8.0, 32), CloudLimits(8.0, 4.0), 1000,
        )

        fun job(
            number: Int,
            shape: Shape = Shape.ARRAY,
            tasks: Int = 2,
            runS: Double = 20.0,
            team: String = "blue",
            priority: Priority = Priority.NORMAL,
            gpus: Long = 1,
            oneZone: Boolean = false,
            spread: Boolean = false,
            spot: Boolean = false,
            after: List<Int> = emptyList(),
        ) = JobSpec(
            "job-%06d".format(number), "class", team, shape, priority, tasks, Resources(2_000, gpus * 1000, 8_000),
            "image-${number % 3}", 2.0, null, null, oneZone, spread, spot,
            if (shape == Shape.SERVICE) 0.0 else runS,
            0.0, 0.0, null,
            after.map { "job-%06d".format(it) },
        )
    }
}
