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
import plankwall.wire.Write
import java.util.Random

/** A whole site in virtual time: real cores, everything else a stand-in, faults by seed. */
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
            workers =
            times ?: it.workers,
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

    /** Share of messages whose answer is lost, and of transactions that are applied late. */
    var answerLoss = 0.0
    var lateWrites = 0.0

    /** Links by pair and direction, for whatever [cuts] can't say. */
    val network = SimulatedNetwork(clock)

    /**
     * Nodes of the version before links were told of: they send no such words, and end a link that carries unknown
     * frames.
     */
    val previousVersionNodes = HashSet<String>()

    /** Tasks that workers killed as their lease ran out. */
    var tasksKilledByLease = 0

    var onTasksKilledByLease: (worker: SimulatedWorker, tasks: Int) -> Unit = { _, _ -> }

    /** Called when a worker's report arrives at a node that is up, while the worker still waits for an answer. */
    var onHeartbeatReceived: (worker: SimulatedWorker, node: SimulatedController) -> Unit = { _, _ -> }

    /** Called when a node answers a worker's report with 200. */
    var onHeartbeatServed: (worker: SimulatedWorker, node: SimulatedController) -> Unit = { _, _ -> }

    /** Jobs submitted with a mistake: they fail wherever they run. */
    val faultyJobs = HashSet<String>()

    /** How many times as often as usual users ask for their jobs. */
    var pollFactor = 1.0

    /** Machines whose reports arrive, while answers and direct commands to them are lost. */
    val inboundBlocked = HashSet<String>()

    /** Machines that reach no node, while direct commands reach them. */
    val outboundBlocked = HashSet<String>()

    /** Share of the workers' reports of which a copy arrives again, up to two leases later. */
    var lateHeartbeatCopies = 0.0

    /**
     * Share of the workers' reports of which a copy is kept and reaches every node as the next leader begins, and again
     * a little later.
     */
    var copiesForNextLeader = 0.0
    private val copies = ArrayList<Pair<SimulatedWorker, HeartbeatStatus>>()

    /** Share of transactions that are carried out at once and whose answer is lost. */
    var lostCommitAnswers = 0.0

    /** Share of the frames between controllers that are lost, and of which a copy arrives again some seconds later. */
    var frameLoss = 0.0
    var lateFrameCopies = 0.0

    internal fun carryFrame(from: SimulatedController, to: SimulatedController, bytes: ByteArray) {
        if (frameLoss > 0 && random.nextDouble() < frameLoss) return countFault("frames lost")
        network.carry(from.name, to.name) { if (to.up) to.onFrame(bytes) }
        if (lateFrameCopies == 0.0 || random.nextDouble() >= lateFrameCopies) return
        clock.after(random.nextDouble() * LATEST_FRAME_S) {
            countFault("late frames")
            if (to.up) to.onFrame(bytes)
        }
    }

    /** How often each trouble took hold: a test of a meeting says nothing where it did not. */
    val faultCounts = HashMap<String, Int>()

    internal fun countFault(what: String) {
        faultCounts.merge(what, 1, Int::plus)
    }

    /** How many times a node has begun to lead. */
    var elections = 0
        private set

    val users = RetryingUsers(this)

    /**
     * Users ask at all nodes within milliseconds, and repeat what they asked for, right after a job was accepted, ended
     * or cancelled.
     */
    var concurrentRequests = false

    /** Share of the jobs that end which are cancelled at that moment. */
    var cancelAtCompletion = 0.0
    val cancelledAtCompletion = HashSet<String>()
    private val completed = HashMap<String, Int>()

    /** A task of [id] has come to its end; to be told of each once. */
    override fun onCompleted(id: String) {
        if (completed.merge(id, 1, Int::plus) != specs[id]?.tasks) return
        if (cancelAtCompletion > 0 && random.nextDouble() < cancelAtCompletion) {
            countFault("cancelled at its end")
            cancelledAtCompletion.add(id)
            clock.after(random.nextDouble() * 0.6) { cancel(id) }
        }
        if (concurrentRequests) {
            listOf(0.0, 0.05, 0.3, 0.6, 1.2).forEach {
                clock.after(it) { users.requestAtAllNodes(id) }
            }
        }
    }

    internal fun kindOf(write: Write): String = when (write) {
        is Write.Put -> write.key
        is Write.Remove -> write.key
    }.substringBefore('/')

    internal fun onElected(node: SimulatedController) {
        elections++
        val now = copies.toList()
        copies.clear()
        now.forEachIndexed { i, (worker, heartbeat) ->
            // At once, as it begins, or once it has acted; by then the worker may be gone.
            listOf(0.01, if (i % 2 == 0) 0.3 else 4.0).forEach { delay ->
                clock.after(delay) {
                    countFault("copies for the next")
                    nodes.filter { it.up }.forEach { n ->
                        n.sendRequest({ Input.Heartbeat(it, heartbeat) }) { status, _ ->
                            if (n ===
                                node &&
                                status == 200
                            ) {
                                countFault("copies taken of ${worker.id}")
                            }
                        }
                    }
                }
            }
        }
    }

    /** Pairs that can't reach each other, as "n0-state", "n1-workers", "n2-peers". */
    val cuts = HashSet<String>()

    /** Zones whose workers reach nobody and are reached by nobody. */
    val cutZones = HashSet<String>()

    /** Called before each effect is carried out; what it crashes does nothing more. */
    var onEffect: (SimulatedController, Effect) -> Unit = { _, _ -> }

    fun wallMs(): Long = (clock.now * 1000).toLong() + 1_700_000_000_000

    init {
        nodes.forEach { it.start() }
        clock.every(0.5) { checker.checkCancelled(clock.now) }
        clock.every(5.0) { checker.checkStalled(sound(), clock.now) }
    }

    override val nodeNames: List<String> by lazy { nodes.map { it.name } }

    override fun isFaulty(id: String): Boolean = id in faultyJobs

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
    ) = onHeartbeat(worker, nodes[node], heartbeat, then)

    fun onHeartbeat(
        worker: SimulatedWorker,
        node: SimulatedController,
        heartbeat: HeartbeatStatus,
        then: (Int, JsonNode) -> Unit,
    ) {
        if (!node.up || "${node.name}-workers" in cuts || worker.group.zone in cutZones) return
        check(worker.id == heartbeat.machine)
        if (worker.id in outboundBlocked) return countFault("reports lost")
        if (copiesForNextLeader > 0 &&
            copies.size < MAX_COPIES &&
            random.nextDouble() < copiesForNextLeader
        ) {
            copies.add(worker to heartbeat)
        }
        val sentAt = clock.now
        val zone = worker.group.zone
        if (lateHeartbeatCopies > 0 && random.nextDouble() < lateHeartbeatCopies) {
            clock.after(2.0 + random.nextDouble() * settings.workers.leaseS * 2) {
                countFault("late reports")
                if (node.up) node.sendRequest({ Input.Heartbeat(it, heartbeat) }) { _, _ -> }
            }
        }
        network.carry(worker.id, node.name, zone, refused = { then(503, SimulatedWorker.json.nullNode()) }) {
            if (node.up && clock.now - sentAt < SimulatedWorker.ANSWER_TIMEOUT_S) onHeartbeatReceived(worker, node)
            if (node.up) {
                node.sendRequest({ Input.Heartbeat(it, heartbeat) }) { status, body ->
                    if (random.nextDouble() < answerLoss) return@sendRequest
                    if (worker.id in inboundBlocked) return@sendRequest countFault("answers lost")
                    if (status == 200) onHeartbeatServed(worker, node)
                    network.carry(node.name, worker.id, zone, refused = {
                        then(503, SimulatedWorker.json.nullNode())
                    }) { then(status, SimulatedWorker.json.readTree(body)) }
                }
            }
        }
    }

    private fun sound(): Map<SimulatedWorker, Resources> = cloud.workers
        .filter {
            !it.hung &&
                !it.failsEveryTask &&
                it.id !in inboundBlocked &&
                it.id !in outboundBlocked &&
                it.group.zone !in cutZones
        }
        .associateWith { cloud.catalog[it.group.type]?.capacity ?: Resources.NONE }

    override fun specOf(id: String): JobSpec? = specs[id]

    /** A worker forgets that a task of [id] is done. If nobody has stored it, the next leader runs the task again. */
    override fun checkStored(id: String, task: Int) {
        val live = state.value(Keys.job(id)) as? JobRecord ?: return
        if (live.cancelledMs > 0 || state.value(Keys.final(id)) != null) return
        if (state.values(Keys.pages(id)).none {
                it is PageRecord && it.done[task]
            }
        ) {
            checker.violations.add("lost_end: $id/$task was cleared and is not stored")
        }
    }

    /** Workers can have the description of a job that somebody else will submit. */
    fun expect(spec: JobSpec) {
        specs.putIfAbsent(spec.id, spec)
    }

    /** Submits until accepted, then polls until over, as users do. */
    fun submit(spec: JobSpec, cancelAfter: Double? = null) {
        specs[spec.id] = spec
        submitTry(spec, cancelAfter)
    }

    /** A job that another version accepted: its users poll it as any other. */
    fun assumeAccepted(spec: JobSpec) {
        specs[spec.id] = spec
        checker.submissionAnswered(spec, 201, clock.now)
        clock.after(1.0) { poll(spec.id) }
    }

    private fun submitTry(spec: JobSpec, cancelAfter: Double?) {
        // Users name only jobs that were accepted, and go on as soon as they are.
        if (!spec.dependencies.all { checker.isAccepted(it) }) {
            clock.after(0.05) { submitTry(spec, cancelAfter) }
            return
        }
        // The load balancer tries another node where one refuses the connection.
        val first = random.nextInt(nodes.size)
        val node = nodes.indices.map { nodes[(first + it) % nodes.size] }.firstOrNull { it.up } ?: nodes[first]
        var answered = false
        val askedAt = clock.now
        node.sendRequest({ Input.Submit(it, spec) }) { status, body ->
            answered = true
            checker.submissionAnswered(spec, status, clock.now, stageIn(status, body), askedAt)
            if (status == 200 || status == 201) {
                if (concurrentRequests) {
                    listOf(0.0, 0.002, 0.03).forEach {
                        clock.after(it) { users.requestAtAllNodes(spec.id) }
                    }
                }
                clock.after(1.0) { poll(spec.id) }
                if (cancelAfter != null) clock.after(cancelAfter) { cancel(spec.id) }
            } else if (status >= 429) {
                clock.after(1.0) { submitTry(spec, cancelAfter) }
            }
        }
        clock.after(5.0) { if (!answered) submitTry(spec, cancelAfter) }
    }

    private fun stageIn(status: Int, body: ByteArray): String? = if (status >=
        300
    ) {
        null
    } else {
        SimulatedWorker.json.readTree(body).get("stage")?.asText()
    }

    /** Asks [node] for a job once; whether it answered is for [then]. */
    fun queryStatus(id: String, node: SimulatedController, then: (answered: Boolean) -> Unit = {}) {
        val askedAt = clock.now
        node.sendRequest({ Input.Show(it, id) }) { status, body ->
            checker.statusAnswered(id, status, stageIn(status, body), clock.now, askedAt)
            then(status == 200 || status == 404)
        }
    }

    /** Submits once, and again whatever came of it. */
    fun submitOnce(spec: JobSpec, node: SimulatedController, then: (status: Int) -> Unit = {}) {
        val askedAt = clock.now
        node.sendRequest({ Input.Submit(it, spec) }) { status, body ->
            checker.submissionAnswered(spec, status, clock.now, stageIn(status, body), askedAt)
            then(status)
        }
    }

    fun cancelOnce(id: String, node: SimulatedController, then: (status: Int) -> Unit = {}) {
        val askedAt = clock.now
        checker.cancelRequested(id)
        node.sendRequest({ Input.Cancel(it, id) }) { status, body ->
            stageIn(status, body)?.let {
                val first = checker.finalStageOf(id) == null
                checker.cancelAnswered(id, it, clock.now, askedAt)
                if (concurrentRequests &&
                    first &&
                    it == "withdrawn"
                ) {
                    listOf(0.0, 0.002, 0.03).forEach { s ->
                        clock.after(s) { users.requestAtAllNodes(id, cancelled = true) }
                    }
                }
            }
            then(status)
        }
    }

    fun poll(id: String) {
        var answered = false
        queryStatus(id, nodes[random.nextInt(nodes.size)]) { answered = it }
        clock.after(POLL_TIMEOUT_S) { checker.pollEnded(id, answered, clock.now) }
        clock.after(POLL_EVERY_S / pollFactor) { poll(id) }
    }

    fun cancel(id: String) {
        var answered = false
        cancelOnce(id, nodes[random.nextInt(nodes.size)]) { if (it == 200) answered = true }
        clock.after(2.0) { if (!answered) cancel(id) }
    }

    fun stageOf(id: String): String? {
        var found: String? = null
        nodes.first { it.up }.sendRequest({ Input.Show(it, id) }) { status, body ->
            found = if (status == 200) SimulatedWorker.json.readTree(body).get("stage").asText() else "status $status"
        }
        clock.runUntil(clock.now + 0.2)
        return found
    }

    companion object {
        private const val POLL_EVERY_S = 5.0
        private const val LATEST_FRAME_S = 8.0
        private const val POLL_TIMEOUT_S = 2.0
        private const val MAX_COPIES = 60
        private val BIG = Resources(16_000, 4_000, 64_000)
        val CATALOG = Catalog(listOf(MachineType("box", BIG, 100.0, 1.0, 10.0, 3.0, 10.0, listOf("a", "b"))))

        fun settings(node: String, nodes: Int) = Settings(
            node, "a", Address("x", 1), Address("x", 2),
            (0 until nodes).map {
                "n$it"
            }.filter { it != node }.map { Peer(it, "a", "x", 2) },
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
            if (shape ==
                Shape.SERVICE
            ) {
                0.0
            } else {
                runS
            },
            0.0, 0.0, null,
            after.map { "job-%06d".format(it) },
        )
    }
}
