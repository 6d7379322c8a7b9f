package plankwall.loadtest

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import plankwall.simulation.SimulatedWorker

/** Samples the controllers once a second and sums up what happened since a phase began. */
class ProcessSampler(private val cluster: LoadTestCluster, private val controllers: List<ControllerProcess>) {
    private class Node {
        var last: ProcessSample? = null
        var cpuS = 0.0
        var busiest = 0.0
        var residentMb = 0.0
        var sockets = 0
    }

    private val meters = cluster.meters
    private var nodes = controllers.map { Node() }
    private var startedAt = 0.0
    private var base = Baseline()
    private var ownCpuAt = 0.0
    private var lastLeader = -1

    private inner class Baseline {
        val nodes = meters.nodes.map { it.copyOf() }
        val served = meters.heartbeatsServed
        val within1S = meters.heartbeatsWithin1S
        val failed = meters.heartbeatsFailed
        val leases = meters.leasesExpired
        val starts = meters.starts
        val refusals = HashMap(meters.refusals)
    }

    suspend fun run() {
        var round = 0
        while (cluster.scope.isActive) {
            delay(SAMPLE_MS)
            if (cluster.leader() >= 0) lastLeader = cluster.leader()
            controllers.forEach { it.restartIfEnded() }
            controllers.forEachIndexed { i, c -> note(nodes[i], c.sample(withSockets = round % SOCKETS_EVERY == 0)) }
            round++
        }
    }

    private fun note(node: Node, sample: ProcessSample?) {
        val before = node.last
        node.last = sample
        if (sample == null) return
        node.residentMb = maxOf(node.residentMb, sample.residentMb)
        node.sockets = maxOf(node.sockets, sample.sockets)
        // A new process counts from nothing.
        val used = if (before == null || sample.cpuS < before.cpuS) sample.cpuS else sample.cpuS - before.cpuS
        node.cpuS += used
        node.busiest = maxOf(node.busiest, used * 1000 / SAMPLE_MS)
    }

    fun begin() {
        val before = nodes
        nodes = controllers.indices.map { i -> Node().also { it.last = before[i].last } }
        meters.latencies = Latencies()
        cluster.lagUs.reset()
        base = Baseline()
        startedAt = cluster.clock.now
        ownCpuAt = ownCpuS()
    }

    private fun ownCpuS(): Double = ProcReader.read(ProcessHandle.current().pid(), withSockets = false)?.cpuS ?: 0.0

    fun end(phase: String): PhaseFigures {
        val seconds = cluster.clock.now - startedAt
        val latencies = meters.latencies
        return PhaseFigures(
            phase = phase,
            seconds = seconds,
            workers = cluster.cloud.workers.size,
            running = cluster.cloud.workers.sumOf(SimulatedWorker::runningTasks),
            nodes = controllers.indices.map { figures(it, seconds) },
            latencies = mapOf(
                "report" to latencies.heartbeat,
                "submission" to latencies.submission,
                "cancellation" to latencies.cancellation,
                "poll" to latencies.poll,
                "array start" to latencies.arrayStart,
                "urgent start" to latencies.urgentStart,
                "gang start" to latencies.gangStart,
            ).mapValues { LatencyFigures.of(it.value) },
            startsPerS = (meters.starts - base.starts) / seconds,
            startsBusiestSecond = meters.busiest(startedAt, cluster.clock.now, 1),
            startsBusiest10S = meters.busiest(startedAt, cluster.clock.now, 10),
            heartbeatsServed = meters.heartbeatsServed - base.served,
            heartbeatsWithin1S = meters.heartbeatsWithin1S - base.within1S,
            heartbeatsFailed = meters.heartbeatsFailed - base.failed,
            leasesExpired = meters.leasesExpired - base.leases,
            refusals = meters.refusals.mapValues { (what, n) -> n - (base.refusals[what] ?: 0L) }
                .filterValues { it > 0 },
            standInCpu = (ownCpuS() - ownCpuAt) / seconds,
            standInLagP99Ms = cluster.lagUs.getValueAtPercentile(99.0) / 1000.0,
        )
    }

    private fun figures(i: Int, seconds: Double): NodeFigures {
        val node = nodes[i]
        val now = meters.nodes[i]
        val then = base.nodes[i]
        fun rate(of: (NodeMeter) -> Long) = (of(now) - of(then)) / seconds
        return NodeFigures(
            node = controllers[i].name,
            leads = lastLeader == i,
            cpuMean = node.cpuS / seconds,
            cpuBusiestSecond = node.busiest,
            residentMb = node.residentMb,
            sockets = node.sockets,
            heartbeats = rate { it.heartbeats },
            polls = rate { it.polls },
            submissions = rate { it.submissions },
            stateRequests = rate { it.stateRequests },
            stateRefused = rate { it.stateRefused },
            puts = rate { it.puts },
            frameKb = rate { it.frameBytes } / 1024,
        )
    }

    private companion object {
        const val SAMPLE_MS = 1_000L
        const val SOCKETS_EVERY = 5
    }
}
