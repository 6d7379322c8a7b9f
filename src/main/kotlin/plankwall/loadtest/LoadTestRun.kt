package plankwall.loadtest

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import plankwall.io.HttpServer
import plankwall.model.Address
import plankwall.model.Objective
import plankwall.model.Settings
import plankwall.model.Team
import plankwall.simulation.SimulatedStore
import java.io.File

/**
 * Runs one load test: starts the controllers, plays the phases of [plan] and collects the figures.
 *
 * @param deploy the file whose `run` line is the command that starts a controller
 * @param folder the folder for the settings files and logs of the controllers
 * @param tuning the operators' settings for the controllers (YAML), or null for the defaults
 * @param logLevel the log level of the controllers
 * @param onProgress called with each line of progress
 */
class LoadTestRun(
    private val plan: LoadTestPlan,
    private val deploy: File,
    private val folder: File,
    private val tuning: File?,
    private val logLevel: String,
    private val onProgress: (String) -> Unit,
) {
    private val settings = sharedSettings(plan)
    private val meters = LoadMeters(plan.controllers)
    private val standInThread = IoThread.singleThread("stand-ins")
    private val selectorThread = IoThread.singleThread("selector")
    private val scope = CoroutineScope(standInThread + SupervisorJob())
    private val cluster = LoadTestCluster(plan, settings, scope, SelectorManager(selectorThread), meters)
    private val controllers = ArrayList<ControllerProcess>()
    private val links = HashMap<Pair<Int, Int>, PeerProxy>()
    private val phaseFigures = ArrayList<PhaseFigures>()

    /**
     * Runs the load test and returns its figures; blocks until it is over. Throws [InvalidLoadTestPlanException] if the
     * plan does not fit this machine or a controller does not start. Ends all controllers in any case.
     */
    fun play(): LoadTestFigures {
        LoadTestLimits.check(plan)
        // The hook ends the controllers if the run is interrupted, so that no process stays behind.
        val shutdownHook = Thread { controllers.forEach { it.close() } }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        try {
            return runBlocking { withContext(standInThread) { runAllPhases() } }
        } finally {
            controllers.forEach { it.close() }
            Runtime.getRuntime().removeShutdownHook(shutdownHook)
            scope.cancel()
            cluster.transport.close()
        }
    }

    private suspend fun runAllPhases(): LoadTestFigures {
        prepareControllers()
        val sampler = ProcessSampler(cluster, controllers)
        scope.launch { cluster.runClock() }
        scope.launch { sampler.run() }
        controllers.forEach { it.start() }
        awaitControllers()
        cluster.addMachines()
        val users = LoadTestUsers(cluster, controllers.map { it.apiAddress })
        val faults = FaultTimeline(cluster, controllers, links)
        runPhases(sampler, users, faults)
        return LoadTestFigures(
            plan = plan,
            phases = phaseFigures,
            faults = faults.outcomes,
            serviceTasks = users.serviceTasks,
            serviceTasksStarted = users.serviceTasksStarted,
            givenUp = users.givenUp,
            endedByItself = controllers.sumOf { it.endedByItself },
            violations = cluster.checker.violations.toList(),
            answersOvertaken = cluster.checker.answersOvertaken.toList(),
            jobs = users.jobCount,
            userRequests = users.requestCount,
            storeCalls = cluster.storeFaults.counts.toMap(),
            leaderEpochs = cluster.leaderEpochs.size,
        )
    }

    private suspend fun runPhases(sampler: ProcessSampler, users: LoadTestUsers, faults: FaultTimeline) {
        val lengths = plan.phases
        runPhase("connect", sampler, lengths.connectS) {
            cluster.transport.servedSince(0.0) >= 1.0 &&
                cluster.cloud.workers.size == plan.workers
        }
        runPhase("idle", sampler, lengths.idleS)
        users.submitServices(SERVICE_SUBMISSION_PERIOD_S)
        runPhase("fill", sampler, lengths.fillS) { users.serviceTasksStarted >= users.serviceTasks }
        runPhase("rest", sampler, lengths.restS)
        users.startArrivals()
        runPhase("churn", sampler, lengths.churnS)
        faults.schedule()
        runPhase("faults", sampler, lengths.faultS)
        users.arrivalsEnabled = false
        cluster.checker.faultsOverAt = cluster.clock.now
        runPhase("settle", sampler, lengths.settleS)
        if (lengths.settleS > 0) users.queryAllJobs()
    }

    /**
     * Waits until all controllers listen, because the first heartbeats of workers that start earlier would only be
     * refused. Throws [InvalidLoadTestPlanException] if a controller does not listen in time.
     */
    private suspend fun awaitControllers() {
        val startedAtS = cluster.clock.now
        while (!controllers.all { FreePorts.isListening(it.apiAddress.port) }) {
            if (cluster.clock.now - startedAtS > CONTROLLER_START_TIMEOUT_S) {
                throw InvalidLoadTestPlanException(
                    "a controller does not listen within %.0f s; see its log in ${folder.path}".format(
                        CONTROLLER_START_TIMEOUT_S,
                    ),
                )
            }
            delay(CHECK_INTERVAL_MS)
        }
    }

    /** Runs one phase for at most [seconds], or until [isOver] holds, and records its figures. */
    private suspend fun runPhase(
        name: String,
        sampler: ProcessSampler,
        seconds: Double,
        isOver: () -> Boolean = { false },
    ) {
        if (seconds <= 0.0) return
        onProgress("$name: at most %.0f s".format(seconds))
        sampler.beginPhase()
        val startedAtS = cluster.clock.now
        while (cluster.clock.now - startedAtS < seconds && !isOver()) delay(CHECK_INTERVAL_MS)
        val figures = sampler.endPhase(name)
        phaseFigures.add(figures)
        onProgress(LoadTestReport.text(figures))
    }

    /**
     * Opens the listeners of the simulated parts, writes the settings files and creates the controllers. Starts no
     * controller yet.
     */
    private suspend fun prepareControllers() {
        folder.mkdirs()
        val (apiAddresses, peerAddresses) = FreePorts.find(plan.controllers * 2).map {
            Address(WorkerTransport.LOOPBACK, it)
        }.chunked(plan.controllers)
        cluster.transport.openListeners(plan.workers, apiAddresses)
        val tuningFile = File(folder, "tuning.yaml").also { ControllerFiles.writeTuning(it, tuning) }
        val cloudRate = SimulatedStore.Meter(settings.cloud.rps, burstS = CLOUD_BURST_S)
        for (index in 0 until plan.controllers) {
            val peers = (0 until plan.controllers).filter { it != index }.associate { peerIndex ->
                val proxy = PeerProxy(cluster, peerAddresses[peerIndex], meters.nodes[index])
                links[index to peerIndex] = proxy
                plan.nodeName(peerIndex) to proxy.openListener()
            }
            val storeEndpoint = StoreEndpoint(cluster, index, meters.nodes[index])
            val cloudEndpoint = CloudEndpoint(cluster, meters.nodes[index], cloudRate)
            val addresses =
                ControllerAddresses(
                    apiAddresses[index],
                    peerAddresses[index],
                    serve { storeEndpoint.handle(it) },
                    serve { cloudEndpoint.handle(it) },
                    peers,
                )
            val settingsFile = File(folder, "${plan.nodeName(index)}.toml")
            ControllerFiles.writeSettings(settingsFile, plan, settings, index, addresses)
            controllers.add(
                ControllerProcess(
                    plan.nodeName(index),
                    plan.zoneOfNode(index),
                    apiAddresses[index],
                    ControllerFiles.command(deploy, settingsFile, tuningFile),
                    folder,
                    logLevel,
                ),
            )
        }
    }

    /** Starts an HTTP server that answers with [handle] on a free loopback port, and returns its address. */
    private suspend fun serve(handle: suspend (plankwall.io.HttpRequest) -> plankwall.io.HttpReply): Address =
        WorkerTransport.boundAddress(
            HttpServer(scope, cluster.selector, MAX_CONNECTIONS, handle).start(Address(WorkerTransport.LOOPBACK, 0)),
        )

    companion object {
        private const val CHECK_INTERVAL_MS = 100L
        private const val MAX_CONNECTIONS = 500
        private const val SERVICE_SUBMISSION_PERIOD_S = 20.0

        /** The burst that the cloud's rate limit allows, as the time in which the rate alone would allow as much. */
        private const val CLOUD_BURST_S = 2.0
        private const val CONTROLLER_START_TIMEOUT_S = 60.0

        /**
         * Returns the settings that all controllers and the rule checker share. Its addresses are placeholders: the
         * settings file of each controller has the real ones.
         */
        fun sharedSettings(plan: LoadTestPlan): Settings {
            val placeholder = Address(WorkerTransport.LOOPBACK, 1)
            // The quotas exceed the load, because a load test measures size and not the waiting for quotas.
            val quota =
                (plan.workers * CPUS_PER_WORKER * QUOTA_FACTOR / plan.teams).toLong().coerceAtLeast(MIN_QUOTA) * 1000
            val teams = List(plan.teams) { Team("team-${it + 1}", quota / 4, quota, 0, 0) }
            val objectives = listOf(
                Objective("wait", LoadTestUsers.LIVE, 8.0, 0.85),
                Objective("wait", LoadTestUsers.URGENT, 9.0, 0.99),
                Objective("wait", LoadTestUsers.BATCH, 120.0, 0.95),
                Objective("wait", LoadTestUsers.GANG, 240.0, 0.9),
            )
            return Settings(
                plan.nodeName(0),
                plan.zoneOfNode(0), placeholder, placeholder, emptyList(), placeholder, placeholder,
                plan.zoneNames, TIME_BOUND_MS,
                teams, objectives, plan.times, plan.state, plan.cloud, plan.maxConnections,
            )
        }

        private const val TIME_BOUND_MS = 5.0
        private const val CPUS_PER_WORKER = 10.0
        private const val QUOTA_FACTOR = 3.0

        /** The smallest quota of a team, in CPUs. */
        private const val MIN_QUOTA = 600L
    }
}
