package plankwall.loadtest

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import plankwall.model.StateLimits
import java.io.File
import java.io.IOException

/** A plan that can't be read or does not fit this machine; the message says why in one line. */
class InvalidLoadTestPlanException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** Reads a [LoadTestPlan] from YAML. Unknown keys are refused: a misspelt one would silently change nothing. */
object LoadTestPlanFile {
    fun read(file: File): LoadTestPlan = try {
        read(YAMLMapper().readTree(file))
    } catch (e: JacksonException) {
        throw InvalidLoadTestPlanException("$file: not YAML: ${e.originalMessage}", e)
    } catch (e: IOException) {
        throw InvalidLoadTestPlanException("$file: can't be read: ${e.message}", e)
    } catch (e: InvalidLoadTestPlanException) {
        throw InvalidLoadTestPlanException("$file: ${e.message}", e)
    }

    fun read(root: JsonNode): LoadTestPlan {
        val plan = LoadTestPlan()
        val r = Table(root, "")
        val read = plan.copy(
            workers = r.whole("workers", plan.workers, 1..20_000),
            controllers = r.whole("controllers", plan.controllers, 1..60),
            regions = r.whole("regions", plan.regions, 1..100),
            zones = r.whole("zones", plan.zones, 1..100),
            teams = r.whole("teams", plan.teams, 1..10_000),
            seed = r.whole("seed", plan.seed.toInt(), 0..Int.MAX_VALUE).toLong(),
            memoryMb = r.number("memory_mb", plan.memoryMb, 64.0..8_192.0),
            maxConnections = r.whole("max_connections", plan.maxConnections, 50..60_000),
            phases = phases(r.subTable("phases"), plan.phases),
            work = work(r.subTable("work"), plan.work),
            state = state(r.subTable("state"), plan.state),
            faults = r.rows("faults").map(::fault),
        )
        r.refuseUnknown()
        return read
    }

    private fun phases(t: Table, d: PhaseLengths): PhaseLengths = PhaseLengths(
        connectS = t.number("connect_s", d.connectS, 0.0..600.0),
        idleS = t.number("idle_s", d.idleS, 0.0..3_600.0),
        fillS = t.number("fill_s", d.fillS, 0.0..3_600.0),
        restS = t.number("rest_s", d.restS, 0.0..3_600.0),
        churnS = t.number("churn_s", d.churnS, 0.0..3_600.0),
        faultS = t.number("fault_s", d.faultS, 0.0..3_600.0),
    ).also { t.refuseUnknown() }

    private fun work(t: Table, d: Workload): Workload = Workload(
        running = t.whole("running", d.running, 0..200_000),
        replicas = t.whole("replicas", d.replicas, 1..10_000),
        startsPerS = t.number("starts_per_s", d.startsPerS, 0.0..10_000.0),
        arrayTasks = t.whole("array_tasks", d.arrayTasks, 1..10_000),
        arrayRunS = t.number("array_run_s", d.arrayRunS, 0.1..3_600.0),
        urgentPerS = t.number("urgent_per_s", d.urgentPerS, 0.0..1_000.0),
        gangTasks = t.whole("gang_tasks", d.gangTasks, 0..10_000),
        gangsPerMin = t.number("gangs_per_min", d.gangsPerMin, 0.0..600.0),
        cancelShare = t.number("cancel_share", d.cancelShare, 0.0..1.0),
        pollEveryS = t.number("poll_every_s", d.pollEveryS, 0.1..3_600.0),
    ).also { t.refuseUnknown() }

    private fun state(t: Table, d: StateLimits): StateLimits = StateLimits(
        rps = t.number("rps", d.rps, 1.0..1e6),
        writeRps = t.number("write_rps", d.writeRps, 1.0..1e6),
        valueKb = t.number("value_kb", d.valueKb, 1.0..64.0),
        txnOps = t.whole("txn_ops", d.txnOps, 4..10_000),
    ).also { t.refuseUnknown() }

    private fun fault(t: Table): Fault {
        val word = t.text("kind")
        val kind = FaultKind.entries.find { it.name.lowercase() == word }
            ?: throw InvalidLoadTestPlanException(
                "faults.kind: $word; known are ${FaultKind.entries.joinToString(", ") {
                    it.name.lowercase()
                }}",
            )
        val fault = Fault(
            t.number("at_s", 0.0, 0.0..3_600.0),
            kind,
            t.text("target", "all"),
            t.number(
                "for_s",
                8.0,
                0.0..3_600.0,
            ),
        )
        t.refuseUnknown()
        return fault
    }

    /** A map of the file; remembers which keys were asked for. */
    private class Table(private val node: JsonNode?, private val prefix: String) {
        private val known = HashSet<String>()

        init {
            if (node != null && !node.isMissingNode && !node.isNull && !node.isObject) {
                throw InvalidLoadTestPlanException("${prefix.trimEnd('.')}: must be a map")
            }
        }

        private fun find(key: String): JsonNode? {
            known.add(key)
            return node?.get(key)
        }

        fun number(key: String, default: Double, range: ClosedFloatingPointRange<Double>): Double {
            val found = find(key) ?: return default
            if (!found.isNumber || found.asDouble() !in range) {
                throw InvalidLoadTestPlanException(
                    "$prefix$key: ${found.asText()} must be a number in ${range.start}..${range.endInclusive}",
                )
            }
            return found.asDouble()
        }

        fun whole(key: String, default: Int, range: IntRange): Int {
            val found = find(key) ?: return default
            if (!found.isInt || found.asInt() !in range) {
                throw InvalidLoadTestPlanException("$prefix$key: ${found.asText()} must be a whole number in $range")
            }
            return found.asInt()
        }

        fun text(key: String, default: String? = null): String =
            find(key)?.asText() ?: default ?: throw InvalidLoadTestPlanException("$prefix$key: missing")

        fun subTable(key: String) = Table(find(key), "$prefix$key.")

        fun rows(key: String): List<Table> = find(key)?.map { Table(it, "$prefix$key.") }.orEmpty()

        fun refuseUnknown() {
            val unknown = node?.fieldNames()?.asSequence()?.firstOrNull { it !in known } ?: return
            throw InvalidLoadTestPlanException("$prefix$unknown: unknown; known are ${known.joinToString(", ")}")
        }
    }
}
