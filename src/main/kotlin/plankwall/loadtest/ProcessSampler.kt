package plankwall.loadtest

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import plankwall.simulation.SimulatedWorker

/** Samples the resource use of the controllers once a second, and computes the figures of each phase. */
class ProcessSampler(private val cluster: LoadTestCluster, private val controllers: List<ControllerProcess>) {
    /** The resource use of one controller since the phase began. */
    private class NodeUsage {
        var lastSample: ProcessSample? = null
        var cpuS = 0.0
        var cpuBusiestSecond = 0.0
        var residentMb = 0.0
        var sockets = 0
    }

    private val meters = cluster.meters
    private var usages = controllers.map { NodeUsage() }
    private var startedAtS = 0.0
    private var baseline = Baseline()

    /** [ownCpuS] when the phase began. */
    private var ownCpuAtStartS = 0.0

    /** The index of the last known leader, or -1 if there was none yet. */
    private var lastLeaderIndex = -1

    /** The counts of the meters when the phase began. */
    private inner class Baseline {
        val nodes = meters.nodes.map { it.copyCounts() }
        val heartbeatsServed = meters.heartbeatsServed
        val heartbeatsWithin1S = meters.heartbeatsWithin1S
        val heartbeatsFailed = meters.heartbeatsFailed
        val leasesExpired = meters.leasesExpired
        val starts = meters.starts
        val refusals = HashMap(meters.refusals)
    }

    /** Samples the controllers, and restarts those that ended by themselves, until the cluster's scope is cancelled. */
    suspend fun run() {
        var round = 0
        while (cluster.scope.isActive) {
            delay(SAMPLE_INTERVAL_MS)
            if (cluster.leaderIndex() >= 0) lastLeaderIndex = cluster.leaderIndex()
            controllers.forEach { it.restartIfEnded() }
            controllers.forEachIndexed { index, controller ->
                addSample(
                    usages[index],
                    controller.sample(withSockets = round % SAMPLES_PER_SOCKET_COUNT == 0),
                )
            }
            round++
        }
    }

    private fun addSample(usage: NodeUsage, sample: ProcessSample?) {
        val previous = usage.lastSample
        usage.lastSample = sample
        if (sample == null) return
        usage.residentMb = maxOf(usage.residentMb, sample.residentMb)
        usage.sockets = maxOf(usage.sockets, sample.sockets)
        // The CPU time of a restarted process begins at 0 again.
        val usedS = if (previous == null || sample.cpuS < previous.cpuS) sample.cpuS else sample.cpuS - previous.cpuS
        usage.cpuS += usedS
        usage.cpuBusiestSecond = maxOf(usage.cpuBusiestSecond, usedS * 1000 / SAMPLE_INTERVAL_MS)
    }

    /** Begins a phase: resets the latencies and remembers the present counts. */
    fun beginPhase() {
        val previous = usages
        usages = controllers.indices.map { index -> NodeUsage().also { it.lastSample = previous[index].lastSample } }
        meters.latencies = Latencies()
        cluster.lagUs.reset()
        baseline = Baseline()
        startedAtS = cluster.clock.now
        ownCpuAtStartS = ownCpuS()
    }

    /** Returns the CPU time that this process, which runs the simulation, has used so far, in seconds. */
    private fun ownCpuS(): Double =
        ProcReader.readSample(ProcessHandle.current().pid(), withSockets = false)?.cpuS ?: 0.0

    /** Returns the figures since the last call of [beginPhase], under the name [phase]. */
    fun endPhase(phase: String): PhaseFigures {
        val seconds = cluster.clock.now - startedAtS
        val latencies = meters.latencies
        return PhaseFigures(
            phase = phase,
            seconds = seconds,
            workers = cluster.cloud.workers.size,
            running = cluster.cloud.workers.sumOf(SimulatedWorker::runningTasks),
            nodes = controllers.indices.map { nodeFigures(it, seconds) },
            latencies = mapOf(
                "report" to latencies.heartbeat,
                "submission" to latencies.submission,
                "cancellation" to latencies.cancellation,
                "poll" to latencies.poll,
                "array start" to latencies.arrayStart,
                "urgent start" to latencies.urgentStart,
                "gang start" to latencies.gangStart,
            ).mapValues { LatencyFigures.of(it.value) },
            startsPerS = (meters.starts - baseline.starts) / seconds,
            startsBusiestSecond = meters.busiestStartsPerS(startedAtS, cluster.clock.now, 1),
            startsBusiest10S = meters.busiestStartsPerS(startedAtS, cluster.clock.now, 10),
            heartbeatsServed = meters.heartbeatsServed - baseline.heartbeatsServed,
            heartbeatsWithin1S = meters.heartbeatsWithin1S - baseline.heartbeatsWithin1S,
            heartbeatsFailed = meters.heartbeatsFailed - baseline.heartbeatsFailed,
            leasesExpired = meters.leasesExpired - baseline.leasesExpired,
            refusals = meters.refusals.mapValues { (reason, count) -> count - (baseline.refusals[reason] ?: 0L) }
                .filterValues { it > 0 },
            standInCpu = (ownCpuS() - ownCpuAtStartS) / seconds,
            standInLagP99Ms = cluster.lagUs.getValueAtPercentile(99.0) / 1000.0,
        )
    }

    private fun nodeFigures(index: Int, seconds: Double): NodeFigures {
        val usage = usages[index]
        val currentMeter = meters.nodes[index]
        val startMeter = baseline.nodes[index]
        fun ratePerS(countOf: (NodeMeter) -> Long) = (countOf(currentMeter) - countOf(startMeter)) / seconds
        return NodeFigures(
            node = controllers[index].name,
            leads = lastLeaderIndex == index,
            cpuMean = usage.cpuS / seconds,
            cpuBusiestSecond = usage.cpuBusiestSecond,
            residentMb = usage.residentMb,
            sockets = usage.sockets,
            heartbeats = ratePerS { it.heartbeats },
            polls = ratePerS { it.polls },
            submissions = ratePerS { it.submissions },
            stateRequests = ratePerS { it.stateRequests },
            stateRefused = ratePerS { it.stateRefused },
            puts = ratePerS { it.puts },
            frameKb = ratePerS { it.frameBytes } / 1024,
        )
    }

    private companion object {
        const val SAMPLE_INTERVAL_MS = 1_000L

        /**
         * The number of samples of which one counts the sockets, because counting them reads a link for each open file.
         */
        const val SAMPLES_PER_SOCKET_COUNT = 5
    }
}
