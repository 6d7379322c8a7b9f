package plankwall.loadtest

import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import org.HdrHistogram.Histogram

/**
 * The resource use and the load of one controller in one phase. The CPU figures are in cores, and the counts of
 * requests, writes and kB are mean rates per second.
 *
 * @property leads whether it was the last known leader at the end of the phase
 * @property cpuBusiestSecond the most CPU that it used in one second
 * @property residentMb the largest resident memory of the phase
 * @property sockets the largest number of open sockets of the phase
 * @property stateRefused requests to the state service that were refused
 * @property puts writes in the transactions that it sent to the state service
 * @property frameKb peer frames that it sent to other controllers
 */
data class NodeFigures(
    val node: String,
    val leads: Boolean,
    val cpuMean: Double,
    val cpuBusiestSecond: Double,
    val residentMb: Double,
    val sockets: Int,
    val heartbeats: Double,
    val polls: Double,
    val submissions: Double,
    val stateRequests: Double,
    val stateRefused: Double,
    val puts: Double,
    val frameKb: Double,
)

/** The number of samples and the percentiles of one latency, in milliseconds. */
data class LatencyFigures(val count: Long, val p50Ms: Long, val p95Ms: Long, val p99Ms: Long) {
    companion object {
        /** Returns the figures of [histogram], whose values are in milliseconds. */
        fun of(histogram: Histogram) = LatencyFigures(
            histogram.totalCount,
            histogram.getValueAtPercentile(50.0),
            histogram.getValueAtPercentile(95.0),
            histogram.getValueAtPercentile(99.0),
        )
    }
}

/**
 * The figures of one phase of a load test.
 *
 * @property seconds the duration of the phase
 * @property workers the number of workers at the end of the phase
 * @property running the number of running tasks at the end of the phase
 * @property startsPerS the mean number of task starts per second
 * @property startsBusiestSecond the number of task starts in the second with the most
 * @property startsBusiest10S the number of task starts per second in the ten successive seconds with the most
 * @property heartbeatsServed heartbeats that were answered with status 200
 * @property heartbeatsWithin1S those of them that were answered within one second
 * @property heartbeatsFailed heartbeats without an answer; an answer with another status than 200 is not counted
 * @property leasesExpired worker leases that ran out
 * @property refusals the number of the users' failed requests, by request and status
 * @property standInCpu the CPU that the simulation itself used, in cores
 * @property standInLagP99Ms the 99th percentile of the delay of the simulation's clock, in milliseconds
 */
data class PhaseFigures(
    val phase: String,
    val seconds: Double,
    val workers: Int,
    val running: Int,
    val nodes: List<NodeFigures>,
    val latencies: Map<String, LatencyFigures>,
    val startsPerS: Double,
    val startsBusiestSecond: Double,
    val startsBusiest10S: Double,
    val heartbeatsServed: Long,
    val heartbeatsWithin1S: Long,
    val heartbeatsFailed: Long,
    val leasesExpired: Long,
    val refusals: Map<String, Long>,
    val standInCpu: Double,
    val standInLagP99Ms: Double,
) {
    /** The figures of the leader, or null if no controller led yet. */
    val leader: NodeFigures? get() = nodes.firstOrNull { it.leads }
}

/**
 * The result of a load test.
 *
 * @property serviceTasks the number of service tasks in the submitted services
 * @property serviceTasksStarted the number of service tasks that started at least once
 * @property givenUp the number of jobs that no controller accepted before their users stopped retrying
 * @property endedByItself the number of times that a controller process ended although the load test had not killed it
 * @property violations the rules that the controllers broke, one line each
 */
data class LoadTestFigures(
    val plan: LoadTestPlan,
    val phases: List<PhaseFigures>,
    val faults: List<FaultOutcome>,
    val serviceTasks: Int,
    val serviceTasksStarted: Int,
    val givenUp: Int,
    val endedByItself: Int,
    val violations: List<String>,
    /** Answers that another answer with a final stage overtook, which breaks no rule. */
    val answersOvertaken: List<String>,
    /** The number of jobs that were accepted. */
    val jobs: Int,
    /** The number of requests that the users sent. */
    val userRequests: Long,
    /** The number of calls of the state service that met each fate. */
    val storeCalls: Map<StoreCallFate, Int>,
    /** The number of leaders, one after the other. */
    val leaderEpochs: Int,
)

/** Formats the figures of a load test as JSON and as a text table. */
object LoadTestReport {
    private val mapper = ObjectMapper()

    /** Returns the figures of the whole load test as JSON. */
    fun json(figures: LoadTestFigures): String {
        val root = mapper.createObjectNode()
        root.put("source", "scale run: real controllers, hollow workers, stand-ins over loopback")
        root.put(
            "workers",
            figures.plan.workers,
        ).put(
            "controllers",
            figures.plan.controllers,
        ).put("regions", figures.plan.regions).put("zones", figures.plan.zones)
        root.put(
            "teams",
            figures.plan.teams,
        ).put(
            "seed",
            figures.plan.seed,
        ).put("running", figures.plan.work.running).put("starts_per_s", figures.plan.work.startsPerS)
        root.put("state_rps", figures.plan.state.rps).put("state_write_rps", figures.plan.state.writeRps)
        root.put("service_tasks", figures.serviceTasks).put("service_tasks_started", figures.serviceTasksStarted)
        root.put("given_up", figures.givenUp).put("ended_by_itself", figures.endedByItself)
        root.putArray("broken").also { rows -> figures.violations.forEach { rows.add(it) } }
        root.putArray("phases").also { rows -> figures.phases.forEach { writePhase(rows.addObject(), it) } }
        root.putArray("faults").also { rows ->
            figures.faults.forEach { outcome ->
                rows.addObject().put(
                    "kind",
                    outcome.fault.kind.name.lowercase(),
                ).put(
                    "target",
                    outcome.fault.target,
                ).put("at_s", outcome.fault.startS).put("for_s", outcome.fault.durationS)
                    .put("hit", outcome.hit.joinToString(" ")).also { row ->
                        outcome.servedAgainS?.let { row.put("served_again_s", rounded(it)) }
                            ?: row.putNull("served_again_s")
                    }
            }
        }
        return mapper.writerWithDefaultPrettyPrinter().writeValueAsString(root)
    }

    /** Returns [value] rounded to three decimal places. */
    private fun rounded(value: Double): Double = Math.round(value * 1000) / 1000.0

    private fun writePhase(row: ObjectNode, phase: PhaseFigures) {
        row.put(
            "phase",
            phase.phase,
        ).put("seconds", rounded(phase.seconds)).put("workers", phase.workers).put("running", phase.running)
        row.put(
            "starts_per_s",
            rounded(phase.startsPerS),
        ).put(
            "starts_busiest_second",
            phase.startsBusiestSecond,
        ).put("starts_busiest_10_s", rounded(phase.startsBusiest10S))
        row.put(
            "reports_served",
            phase.heartbeatsServed,
        ).put("reports_within_1_s", phase.heartbeatsWithin1S).put("reports_failed", phase.heartbeatsFailed)
        row.put(
            "leases_expired",
            phase.leasesExpired,
        ).put("stand_in_cpu", rounded(phase.standInCpu)).put("stand_in_lag_p99_ms", rounded(phase.standInLagP99Ms))
        row.putObject("refusals").also { refusals ->
            phase.refusals.forEach { (reason, count) -> refusals.put(reason, count) }
        }
        row.putObject("latencies_ms").also { latencies ->
            phase.latencies.forEach { (name, latency) ->
                latencies.putObject(name).put("count", latency.count)
                    .put("p50", latency.p50Ms).put("p95", latency.p95Ms).put("p99", latency.p99Ms)
            }
        }
        row.putArray("nodes").also { rows -> phase.nodes.forEach { writeNode(rows.addObject(), it) } }
    }

    private fun writeNode(row: ObjectNode, node: NodeFigures) {
        row.put(
            "node",
            node.node,
        ).put(
            "leads",
            node.leads,
        ).put("cpu_mean", rounded(node.cpuMean)).put("cpu_busiest_second", rounded(node.cpuBusiestSecond))
        row.put(
            "resident_mb",
            rounded(node.residentMb),
        ).put(
            "sockets",
            node.sockets,
        ).put("reports_per_s", rounded(node.heartbeats)).put("polls_per_s", rounded(node.polls))
        row.put("submissions_per_s", rounded(node.submissions)).put("state_requests_per_s", rounded(node.stateRequests))
        row.put("state_refused_per_s", rounded(node.stateRefused)).put("puts_per_s", rounded(node.puts))
        row.put("frame_kb_per_s", rounded(node.frameKb))
    }

    /** Returns the figures of [phase] as a text table with one row for each controller; `*` marks the leader. */
    fun text(phase: PhaseFigures): String = buildString {
        appendLine(
            "${phase.phase}: %.0f s, %d workers, %d tasks running, starts %.0f a second (busiest 10 s %.0f)".format(
                phase.seconds,
                phase.workers,
                phase.running,
                phase.startsPerS,
                phase.startsBusiest10S,
            ),
        )
        val total = phase.heartbeatsServed + phase.heartbeatsFailed
        appendLine(
            (
                "  reports answered within 1 s %.4f of %d, leases lost %d; " +
                    "stand-ins use %.2f of a core, late p99 %.0f ms"
                ).format(
                if (total == 0L) 1.0 else phase.heartbeatsWithin1S / total.toDouble(),
                total,
                phase.leasesExpired,
                phase.standInCpu,
                phase.standInLagP99Ms,
            ),
        )
        phase.latencies.filterValues {
            it.count > 0
        }.forEach { (name, latency) ->
            appendLine(
                "  %-14s %6d: p50 %d ms, p95 %d ms, p99 %d ms".format(
                    name,
                    latency.count,
                    latency.p50Ms,
                    latency.p95Ms,
                    latency.p99Ms,
                ),
            )
        }
        if (phase.refusals.isNotEmpty()) {
            appendLine(
                "  refused: ${phase.refusals.entries.joinToString(", ") {
                    "${it.key}: ${it.value}"
                }}",
            )
        }
        appendLine(
            "  node        cpu mean  busiest s  MB   sockets  reports/s  polls/s  state/s  refused/s  " +
                "puts/s  frames kB/s",
        )
        phase.nodes.forEach { node ->
            appendLine(
                "  %-11s %8.2f %10.2f %4.0f %9d %10.1f %8.1f %8.1f %10.1f %7.1f %12.1f".format(
                    node.node + if (node.leads) "*" else "", node.cpuMean, node.cpuBusiestSecond, node.residentMb,
                    node.sockets, node.heartbeats, node.polls, node.stateRequests, node.stateRefused, node.puts,
                    node.frameKb,
                ),
            )
        }
    }
}
