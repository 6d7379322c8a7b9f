package plankwall.loadtest

import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import org.HdrHistogram.Histogram

/** What one controller used and handled in one phase; rates are a second. */
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

/** A percentile or two of one latency, in milliseconds. */
data class LatencyFigures(val count: Long, val p50Ms: Long, val p95Ms: Long, val p99Ms: Long) {
    companion object {
        fun of(h: Histogram) = LatencyFigures(
            h.totalCount,
            h.getValueAtPercentile(50.0),
            h.getValueAtPercentile(95.0),
            h.getValueAtPercentile(99.0),
        )
    }
}

/** One phase of a scale run. */
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
    val leader: NodeFigures? get() = nodes.firstOrNull { it.leads }
}

/** A whole scale run. */
data class LoadTestFigures(
    val plan: LoadTestPlan,
    val phases: List<PhaseFigures>,
    val faults: List<FaultOutcome>,
    val serviceTasks: Int,
    val serviceTasksStarted: Int,
    val givenUp: Int,
    val endedByItself: Int,
    val violations: List<String>,
)

/** Scale figures as JSON and as a table for people. */
object LoadTestReport {
    private val json = ObjectMapper()

    fun json(f: LoadTestFigures): String {
        val root = json.createObjectNode()
        root.put("source", "scale run: real controllers, hollow workers, stand-ins over loopback")
        root.put(
            "workers",
            f.plan.workers,
        ).put("controllers", f.plan.controllers).put("regions", f.plan.regions).put("zones", f.plan.zones)
        root.put(
            "teams",
            f.plan.teams,
        ).put("seed", f.plan.seed).put("running", f.plan.work.running).put("starts_per_s", f.plan.work.startsPerS)
        root.put("state_rps", f.plan.state.rps).put("state_write_rps", f.plan.state.writeRps)
        root.put("service_tasks", f.serviceTasks).put("service_tasks_started", f.serviceTasksStarted)
        root.put("given_up", f.givenUp).put("ended_by_itself", f.endedByItself)
        root.putArray("broken").also { rows -> f.violations.forEach { rows.add(it) } }
        root.putArray("phases").also { rows -> f.phases.forEach { phase(rows.addObject(), it) } }
        root.putArray("faults").also { rows ->
            f.faults.forEach { o ->
                rows.addObject().put(
                    "kind",
                    o.fault.kind.name.lowercase(),
                ).put("target", o.fault.target).put("at_s", o.fault.atS).put("for_s", o.fault.forS)
                    .put("hit", o.hit.joinToString(" ")).also { row ->
                        o.servedAgainS?.let { row.put("served_again_s", rounded(it)) }
                            ?: row.putNull("served_again_s")
                    }
            }
        }
        return json.writerWithDefaultPrettyPrinter().writeValueAsString(root)
    }

    private fun rounded(value: Double): Double = Math.round(value * 1000) / 1000.0

    private fun phase(row: ObjectNode, p: PhaseFigures) {
        row.put("phase", p.phase).put("seconds", rounded(p.seconds)).put("workers", p.workers).put("running", p.running)
        row.put(
            "starts_per_s",
            rounded(p.startsPerS),
        ).put("starts_busiest_second", p.startsBusiestSecond).put("starts_busiest_10_s", rounded(p.startsBusiest10S))
        row.put(
            "reports_served",
            p.heartbeatsServed,
        ).put("reports_within_1_s", p.heartbeatsWithin1S).put("reports_failed", p.heartbeatsFailed)
        row.put(
            "leases_expired",
            p.leasesExpired,
        ).put("stand_in_cpu", rounded(p.standInCpu)).put("stand_in_lag_p99_ms", rounded(p.standInLagP99Ms))
        row.putObject("refusals").also { o -> p.refusals.forEach { (what, n) -> o.put(what, n) } }
        row.putObject("latencies_ms").also { o ->
            p.latencies.forEach { (what, l) ->
                o.putObject(what).put("count", l.count).put("p50", l.p50Ms).put("p95", l.p95Ms).put("p99", l.p99Ms)
            }
        }
        row.putArray("nodes").also { rows -> p.nodes.forEach { node(rows.addObject(), it) } }
    }

    private fun node(row: ObjectNode, n: NodeFigures) {
        row.put(
            "node",
            n.node,
        ).put(
            "leads",
            n.leads,
        ).put("cpu_mean", rounded(n.cpuMean)).put("cpu_busiest_second", rounded(n.cpuBusiestSecond))
        row.put(
            "resident_mb",
            rounded(n.residentMb),
        ).put("sockets", n.sockets).put("reports_per_s", rounded(n.heartbeats)).put("polls_per_s", rounded(n.polls))
        row.put("submissions_per_s", rounded(n.submissions)).put("state_requests_per_s", rounded(n.stateRequests))
        row.put("state_refused_per_s", rounded(n.stateRefused)).put("puts_per_s", rounded(n.puts))
        row.put("frame_kb_per_s", rounded(n.frameKb))
    }

    fun text(p: PhaseFigures): String = buildString {
        appendLine(
            "${p.phase}: %.0f s, %d workers, %d tasks running, starts %.0f a second (busiest 10 s %.0f)".format(
                p.seconds,
                p.workers,
                p.running,
                p.startsPerS,
                p.startsBusiest10S,
            ),
        )
        val total = p.heartbeatsServed + p.heartbeatsFailed
        appendLine(
            (
                "  reports answered within 1 s %.4f of %d, leases lost %d; " +
                    "stand-ins use %.2f of a core, late p99 %.0f ms"
                ).format(
                if (total == 0L) 1.0 else p.heartbeatsWithin1S / total.toDouble(),
                total,
                p.leasesExpired,
                p.standInCpu,
                p.standInLagP99Ms,
            ),
        )
        p.latencies.filterValues {
            it.count > 0
        }.forEach { (what, l) ->
            appendLine("  %-14s %6d: p50 %d ms, p95 %d ms, p99 %d ms".format(what, l.count, l.p50Ms, l.p95Ms, l.p99Ms))
        }
        if (p.refusals.isNotEmpty()) {
            appendLine(
                "  refused: ${p.refusals.entries.joinToString(", ") {
                    "${it.key}: ${it.value}"
                }}",
            )
        }
        appendLine(
            "  node        cpu mean  busiest s  MB   sockets  reports/s  polls/s  state/s  refused/s  " +
                "puts/s  frames kB/s",
        )
        p.nodes.forEach { n ->
            appendLine(
                "  %-11s %8.2f %10.2f %4.0f %9d %10.1f %8.1f %8.1f %10.1f %7.1f %12.1f".format(
                    n.node + if (n.leads) "*" else "", n.cpuMean, n.cpuBusiestSecond, n.residentMb, n.sockets,
                    n.heartbeats, n.polls, n.stateRequests, n.stateRefused, n.puts, n.frameKb,
                ),
            )
        }
    }
}
