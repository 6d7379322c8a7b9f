package plankwall.loadtest

import com.fasterxml.jackson.databind.JsonNode
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withContext
import org.HdrHistogram.Histogram
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.JobSpec
import plankwall.model.MachineType
import plankwall.model.Resources
import plankwall.model.Settings
import plankwall.simulation.RuleChecker
import plankwall.simulation.SimulatedClock
import plankwall.simulation.SimulatedCloud
import plankwall.simulation.SimulatedStore
import plankwall.simulation.SimulatedWorker
import plankwall.simulation.WorkerHost
import plankwall.wire.HeartbeatStatus
import plankwall.wire.Keys
import plankwall.wire.LeaderRecord
import java.util.Random

/**
 * The simulated parts of a load test: the state service, the cloud, the workers and the rule checker. They share one
 * thread and one clock that follows real time. Code that handles data from a socket calls [runCaughtUp], so that it
 * sees the present time and not the time of the clock's last step.
 */
class LoadTestCluster(
    val plan: LoadTestPlan,
    override val settings: Settings,
    val scope: CoroutineScope,
    val selector: SelectorManager,
    val meters: LoadMeters,
) : WorkerHost {
    override val clock = SimulatedClock()
    override val random = Random(plan.seed)
    override val checker = RuleChecker(settings)
    override val nodeNames: List<String> = List(plan.controllers, plan::nodeName)

    /** The simulated state service. */
    val state = SimulatedStore(clock, settings.state).apply {
        limits = settings.state
        refusesBeyondRates = true
        historyLimit = STATE_HISTORY
    }

    /** The faults of the state service that affect a part of its calls. */
    val storeFaults = StoreFaults(random)

    /** The sockets of the workers. */
    val transport = WorkerTransport(this)

    /** The simulated cloud; it can provide as many machines as the plan has workers. */
    val cloud = SimulatedCloud(clock, random, catalog(plan), settings.cloud.listLagS, transport::addressOf) {
            id,
            group,
        ->
        SimulatedWorker(this, id, group, transport.addressOf(id)).also(transport::attachWorker)
    }.apply { capacity = plan.workers }

    /** The versions that the leader's key has had; each is the epoch of one leader. */
    val leaderEpochs = HashSet<Long>()

    init {
        clock.every(LEADER_CHECK_INTERVAL_S) { state.version(Keys.LEADER).takeIf { it > 0 }?.let(leaderEpochs::add) }
    }

    private val specsById = HashMap<String, JobSpec>()
    private val startedAtNs = System.nanoTime()

    /** The delay of the clock's steps, in microseconds; the measured latencies are wrong by up to this delay. */
    val lagUs = Histogram(MAX_LAG_US, 3)

    private val completedTaskCounts = HashMap<String, Int>()

    /** Called when all tasks of the job [id] have completed; set by [LoadTestUsers]. */
    var onJobCompleted: (id: String) -> Unit = {}

    /** Called when a worker has started to run a task of the job [id]; set by [LoadTestUsers]. */
    var onTaskStarted: (id: String, task: Int) -> Unit = { _, _ -> }

    private fun elapsedS(): Double = (System.nanoTime() - startedAtNs) / 1e9

    /** Advances the clock with real time until [scope] is cancelled. */
    suspend fun runClock() {
        while (scope.isActive) {
            val stepLagUs = ((elapsedS() - clock.now) * 1e6).toLong() - CLOCK_STEP_MS * 1000
            lagUs.recordValue(stepLagUs.coerceIn(0, MAX_LAG_US))
            clock.runUntil(elapsedS())
            delay(CLOCK_STEP_MS)
        }
    }

    /** Runs [action] like [runCaughtUp], for callers on another thread. */
    suspend fun <T> runOnClusterThread(action: () -> T): T = withContext(scope.coroutineContext) { runCaughtUp(action) }

    /** Advances the clock to the present and then runs [action]. Only for callers on the thread of [scope]. */
    inline fun <T> runCaughtUp(action: () -> T): T {
        catchUpClock()
        return action()
    }

    /** Advances the clock to the present and runs the events that are due. */
    fun catchUpClock() = clock.runUntil(maxOf(clock.now, elapsedS()))

    /** Makes [spec] known to the workers, which run its tasks. Called before the job is submitted. */
    fun registerJob(spec: JobSpec) {
        specsById[spec.id] = spec
    }

    override fun specOf(id: String): JobSpec? = specsById[id]

    override fun isFaulty(id: String): Boolean = false

    override fun sendHeartbeat(
        worker: SimulatedWorker,
        node: Int,
        heartbeat: HeartbeatStatus,
        onAnswer: (status: Int, body: JsonNode) -> Unit,
    ) = transport.sendHeartbeat(worker, node, heartbeat, onAnswer)

    override fun checkStored(id: String, task: Int) = Unit

    override fun onStarted(id: String, task: Int) {
        meters.recordStart(clock.now)
        onTaskStarted(id, task)
    }

    override fun onCompleted(id: String) {
        if (completedTaskCounts.merge(id, 1, Int::plus) == specsById[id]?.tasks) onJobCompleted(id)
    }

    override fun onLeaseExpired(worker: SimulatedWorker, tasks: Int) {
        meters.leasesExpired++
    }

    /** Returns the index of the controller that the leader's key names, or -1 if there is none. */
    fun leaderIndex(): Int = nodeNames.indexOf((state.value(Keys.LEADER) as? LeaderRecord)?.node)

    /** Adds the machines of the plan, spread evenly over its zones; a third of them has accelerators. */
    fun addMachines() {
        val groups = plan.zoneNames.flatMap { zone ->
            listOf(GroupKey(PLAIN, zone, false), GroupKey(PLAIN, zone, false), GroupKey(ACCELERATED, zone, false))
        }
        val counts = IntArray(groups.size) {
            plan.workers / groups.size + if (it < plan.workers % groups.size) {
                1
            } else {
                0
            }
        }
        groups.forEachIndexed { index, group ->
            cloud.addRunning(group, counts[index]) {
                random.nextDouble() *
                    maxOf(settings.workers.heartbeatIntervalS, plan.workers / FIRST_HEARTBEATS_PER_S)
            }
        }
    }

    companion object {
        /** The name of the machine type without accelerators. */
        const val PLAIN = "plain"

        /** The name of the machine type with accelerators. */
        const val ACCELERATED = "accelerated"

        /** The interval between two steps of the clock. */
        private const val CLOCK_STEP_MS = 2L

        /** The largest lag that [lagUs] holds; larger ones are recorded as this. */
        private const val MAX_LAG_US = 60_000_000L

        /** The number of changes that the state service keeps, from PROTOCOL. */
        private const val STATE_HISTORY = 10_000

        private const val BOOT_S = 60.0
        private const val LEADER_CHECK_INTERVAL_S = 0.1

        /**
         * The mean number of workers per second that send their first heartbeat. If all of them did so at once, that
         * would be a fault of its own.
         */
        private const val FIRST_HEARTBEATS_PER_S = 400.0

        /** Returns the catalog of the simulated cloud: both machine types, in all zones of [plan]. */
        fun catalog(plan: LoadTestPlan): Catalog {
            fun machineType(name: String, gpus: Long) = MachineType(
                name,
                Resources(10_000, gpus, 64_000),
                100.0,
                1.0,
                1.0 + gpus / 1000.0,
                0.0,
                BOOT_S,
                plan.zoneNames,
            )
            return Catalog(listOf(machineType(PLAIN, 0), machineType(ACCELERATED, 4_000)))
        }
    }
}
