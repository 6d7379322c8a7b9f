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
 * The stand-ins of a scale run, on one thread and one clock that follows real time: state service, cloud, workers and
 * the rule checker. Whoever comes from a socket goes through [enter], so that nothing sees the clock stand still.
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
    val state = SimulatedStore(clock, settings.state).apply {
        limits = settings.state
        refusesBeyondRates = true
        historyLimit = STATE_HISTORY
    }
    val transport = WorkerTransport(this)
    val cloud = SimulatedCloud(clock, random, catalog(plan), settings.cloud.listLagS, transport::addressOf) {
            id,
            group,
        ->
        SimulatedWorker(this, id, group, transport.addressOf(id)).also(transport::attach)
    }.apply { capacity = plan.workers }

    private val specs = HashMap<String, JobSpec>()
    private val startedAt = System.nanoTime()

    /** How late the stand-ins' own events run, in microseconds: what they measure is off by as much. */
    val lagUs = Histogram(MAX_LAG_US, 3)

    /** Called when a task has begun to run. */
    var onTaskStarted: (id: String, task: Int) -> Unit = { _, _ -> }

    private fun elapsed(): Double = (System.nanoTime() - startedAt) / 1e9

    suspend fun run() {
        while (scope.isActive) {
            val lag = ((elapsed() - clock.now) * 1e6).toLong() - TURN_MS * 1000
            lagUs.recordValue(lag.coerceIn(0, MAX_LAG_US))
            clock.runUntil(elapsed())
            delay(TURN_MS)
        }
    }

    /** Like [enter], for whoever is on another thread. */
    suspend fun <T> onThread(action: () -> T): T = withContext(scope.coroutineContext) { enter(action) }

    inline fun <T> enter(action: () -> T): T {
        catchUp()
        return action()
    }

    fun catchUp() = clock.runUntil(maxOf(clock.now, elapsed()))

    fun register(spec: JobSpec) {
        specs[spec.id] = spec
    }

    override fun specOf(id: String): JobSpec? = specs[id]

    override fun isFaulty(id: String): Boolean = false

    override fun sendHeartbeat(
        worker: SimulatedWorker,
        node: Int,
        heartbeat: HeartbeatStatus,
        then: (status: Int, body: JsonNode) -> Unit,
    ) = transport.send(worker, node, heartbeat, then)

    override fun checkStored(id: String, task: Int) = Unit

    override fun onStarted(id: String, task: Int) {
        meters.started(clock.now)
        onTaskStarted(id, task)
    }

    override fun onCompleted(id: String) = Unit

    override fun onLeaseExpired(worker: SimulatedWorker, tasks: Int) {
        meters.leasesExpired++
    }

    /** The controller that holds the leader's key, or -1. */
    fun leader(): Int = nodeNames.indexOf((state.value(Keys.LEADER) as? LeaderRecord)?.node)

    /** Adds the machines of the plan, spread over its zones; a third of them has accelerators. */
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
        groups.forEachIndexed { i, group ->
            cloud.addRunning(group, counts[i]) {
                random.nextDouble() *
                    maxOf(settings.workers.reportS, plan.workers / ARRIVING_PER_S)
            }
        }
    }

    companion object {
        const val PLAIN = "plain"
        const val ACCELERATED = "accelerated"
        private const val TURN_MS = 2L
        private const val MAX_LAG_US = 60_000_000L

        /** Changes that the state service keeps (PROTOCOL). */
        private const val STATE_HISTORY = 10_000

        private const val BOOT_S = 60.0

        /** Workers that come for the first time, a second: a herd of all is a fault of its own. */
        private const val ARRIVING_PER_S = 400.0

        fun catalog(plan: LoadTestPlan): Catalog {
            fun type(name: String, gpus: Long) = MachineType(
                name,
                Resources(10_000, gpus, 64_000),
                100.0,
                1.0,
                1.0 + gpus / 1000.0,
                0.0,
                BOOT_S,
                plan.zoneNames,
            )
            return Catalog(listOf(type(PLAIN, 0), type(ACCELERATED, 4_000)))
        }
    }
}
