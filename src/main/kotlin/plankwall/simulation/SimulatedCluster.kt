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
 * A cluster in virtual time. The controller cores are real; store, cloud, workers, users and network are simulated. All
 * random choices follow from [seed]. [stateNext] holds announced limits of the state service that may come into force
 * at any time, or null. [gatewaySettings] returns the access gateway settings of a controller, or null for one without
 * a gateway. [objectives] are the service-level objectives. [times] replaces the default worker times.
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

    /** The store of all controllers. */
    val state = SimulatedStore(clock, settings.state)

    /** The controllers, named `n0`, `n1` and so on. */
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

    /** The cloud from which the controllers rent machines. */
    val cloud = SimulatedCloud(clock, random, CATALOG, 4.0) { id, group -> SimulatedWorker(this, id, group) }

    /** The specifications of all jobs that workers know, by id. */
    private val specs = HashMap<String, JobSpec>()

    /** The faults that are injected now. */
    val faults = InjectedFaults()

    /** The network links; each direction can be cut by itself. */
    val network = SimulatedNetwork(clock)
    private val heartbeats = HeartbeatDelivery(this)

    /** The number of tasks that workers killed because their lease expired. */
    var tasksKilledByLease = 0

    /** Called when a worker's lease expired while tasks ran on it. */
    var onTasksKilledByLease: (worker: SimulatedWorker, tasks: Int) -> Unit = { _, _ -> }

    /** Called when a worker's heartbeat arrives at a node that is up, while the worker still waits for an answer. */
    var onHeartbeatReceived: (worker: SimulatedWorker, node: SimulatedController) -> Unit = { _, _ -> }

    /** Called when a node answers a worker's heartbeat with 200. */
    var onHeartbeatServed: (worker: SimulatedWorker, node: SimulatedController) -> Unit = { _, _ -> }

    /** Sends a frame from one controller to another; it can be lost or arrive a second time, as [faults] say. */
    internal fun sendFrame(from: SimulatedController, to: SimulatedController, bytes: ByteArray) {
        if (faults.frameLoss > 0 && random.nextDouble() < faults.frameLoss) return faults.count("frames lost")
        network.carry(from.name, to.name) { if (to.isUp) to.onFrame(bytes) }
        if (faults.lateFrameCopies == 0.0 || random.nextDouble() >= faults.lateFrameCopies) return
        clock.after(random.nextDouble() * MAX_FRAME_DELAY_S) {
            faults.count("late frames")
            if (to.isUp) to.onFrame(bytes)
        }
    }

    /** The number of times that a controller has become leader. */
    var elections = 0
        private set

    /** The users who submit, poll and cancel jobs. */
    val users = SimulatedUsers(this)

    /** The users who repeat requests and send invalid ones. */
    val retryingUsers = RetryingUsers(this)

    /** The number of completed tasks of each job, by job id. */
    private val completedTaskCounts = HashMap<String, Int>()

    override fun onCompleted(id: String) {
        if (completedTaskCounts.merge(id, 1, Int::plus) != specs[id]?.tasks) return
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

    /** Called when [node] has become leader. */
    internal fun onElected(node: SimulatedController) {
        elections++
        heartbeats.replayCopies(node)
    }

    /**
     * Called before each effect is performed; if it crashes the controller, the effect and later ones are not
     * performed.
     */
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
        onAnswer: (status: Int, body: JsonNode) -> Unit,
    ) = heartbeats.send(worker, nodes[node], heartbeat, onAnswer)

    /** The workers that are reachable and can run tasks, with the capacity of their machines. */
    private fun healthyWorkers(): Map<SimulatedWorker, Resources> = cloud.workers
        .filter {
            !it.isHung &&
                !it.failsEveryTask &&
                it.id !in faults.inboundBlocked &&
                it.id !in faults.outboundBlocked &&
                it.group.zone !in faults.cutZones
        }
        .associateWith { cloud.catalog[it.group.type]?.capacity ?: Resources.NONE }

    override fun specOf(id: String): JobSpec? = specs[id]

    /**
     * Records a violation if a worker is ordered to forget that a task of the job [id] is done before that is stored:
     * the next leader would run the task again.
     */
    override fun checkStored(id: String, task: Int) {
        val record = state.value(Keys.job(id)) as? JobRecord ?: return
        if (record.cancelledMs > 0 || state.value(Keys.final(id)) != null) return
        if (state.values(Keys.pages(id)).none { it is PageRecord && it.done[task] }) {
            checker.violations.add("lost_end: $id/$task was cleared and is not stored")
        }
    }

    /** Makes the specification of a job known to workers, in place of that of an earlier submission. */
    internal fun register(spec: JobSpec) {
        specs[spec.id] = spec
    }

    /** Makes the specification of a job known to workers which is submitted by other means than [submit]. */
    fun expect(spec: JobSpec) {
        specs.putIfAbsent(spec.id, spec)
    }

    /** Submits [spec] as [SimulatedUsers.submit] does. */
    fun submit(spec: JobSpec, cancelAfterS: Double? = null) = users.submit(spec, cancelAfterS)

    /** Cancels the job [id] as [SimulatedUsers.cancel] does. */
    fun cancel(id: String) = users.cancel(id)

    /**
     * Asks the first running controller for the stage of the job [id]; virtual time moves on by 0.2 s. Returns the
     * stage, or `status N` for an error, or null if there was no answer in that time.
     */
    fun stageOf(id: String): String? {
        var reportedStage: String? = null
        nodes.first { it.isUp }.sendRequest({ Input.Show(it, id) }) { status, body ->
            reportedStage =
                if (status == 200) SimulatedWorker.json.readTree(body).get("stage").asText() else "status $status"
        }
        clock.runUntil(clock.now + 0.2)
        return reportedStage
    }

    /** Builders of settings and jobs with defaults for simulations and tests. */
    companion object {
        private const val MAX_FRAME_DELAY_S = 8.0
        private val MACHINE_CAPACITY = Resources(16_000, 4_000, 64_000)

        /** The machine catalog: one type, `box`, in the zones `a` and `b`. */
        val CATALOG =
            Catalog(listOf(MachineType("box", MACHINE_CAPACITY, 100.0, 1.0, 10.0, 3.0, 10.0, listOf("a", "b"))))

        /** Returns the settings of the controller [node] in a cluster of [nodes] controllers. */
        fun settings(node: String, nodes: Int) = Settings(
            node, "a", Address("x", 1), Address("x", 2),
            (0 until nodes).map { "n$it" }.filter { it != node }.map { Peer(it, "a", "x", 2) },
            Address("x", 3), Address("x", 4), listOf("a", "b"), 5.0,
            listOf(Team("red", 0, 0, 8_000, 16_000), Team("blue", 0, 0, 0, 0)), emptyList(),
            WorkerTimes(3.0, 15.0, 30.0, 5.0, 40.0), StateLimits(250.0, 100.0, 8.0, 32), CloudLimits(8.0, 4.0), 1000,
        )

        /**
         * Returns a job whose id, `job-` and six digits, and image follow from [number]; [after] are the numbers of its
         * dependencies.
         */
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
