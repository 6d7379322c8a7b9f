package plankwall.loadtest

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import plankwall.model.StateLimits
import java.io.File
import java.io.IOException

/**
 * Thrown when a load test plan can't be read, does not fit this machine or can't be started on it. The message gives
 * the reason in one line.
 */
class InvalidLoadTestPlanException(message: String, cause: Throwable? = null) : Exception(message, cause)

/**
 * Reads a [LoadTestPlan] from YAML. Unknown keys are rejected, because a misspelt key would silently have no effect.
 */
object LoadTestPlanFile {
    /** Reads the plan in [file]. Throws [InvalidLoadTestPlanException] with the file name in its message. */
    fun read(file: File): LoadTestPlan = try {
        read(YAMLMapper().readTree(file))
    } catch (e: JacksonException) {
        throw InvalidLoadTestPlanException("$file: not YAML: ${e.originalMessage}", e)
    } catch (e: IOException) {
        throw InvalidLoadTestPlanException("$file: can't be read: ${e.message}", e)
    } catch (e: InvalidLoadTestPlanException) {
        throw InvalidLoadTestPlanException("$file: ${e.message}", e)
    }

    /**
     * Reads the plan in [root]; a missing key means the default of [LoadTestPlan]. Throws
     * [InvalidLoadTestPlanException] for an unknown key and for a value of the wrong type or out of its range.
     */
    fun read(root: JsonNode): LoadTestPlan {
        val defaults = LoadTestPlan()
        val rootTable = Table(root, "")
        val plan = defaults.copy(
            workers = rootTable.wholeNumber("workers", defaults.workers, 1..20_000),
            controllers = rootTable.wholeNumber("controllers", defaults.controllers, 1..60),
            regions = rootTable.wholeNumber("regions", defaults.regions, 1..100),
            zones = rootTable.wholeNumber("zones", defaults.zones, 1..100),
            teams = rootTable.wholeNumber("teams", defaults.teams, 1..10_000),
            seed = rootTable.wholeNumber("seed", defaults.seed.toInt(), 0..Int.MAX_VALUE).toLong(),
            memoryMb = rootTable.number("memory_mb", defaults.memoryMb, 64.0..8_192.0),
            maxConnections = rootTable.wholeNumber("max_connections", defaults.maxConnections, 50..60_000),
            phases = readPhases(rootTable.subTable("phases"), defaults.phases),
            work = readWork(rootTable.subTable("work"), defaults.work),
            state = readState(rootTable.subTable("state"), defaults.state),
            faults = rootTable.subTables("faults").map(::readFault),
        )
        rootTable.refuseUnknown()
        return plan
    }

    private fun readPhases(table: Table, defaults: PhaseLengths): PhaseLengths = PhaseLengths(
        connectS = table.number("connect_s", defaults.connectS, 0.0..600.0),
        idleS = table.number("idle_s", defaults.idleS, 0.0..3_600.0),
        fillS = table.number("fill_s", defaults.fillS, 0.0..3_600.0),
        restS = table.number("rest_s", defaults.restS, 0.0..3_600.0),
        churnS = table.number("churn_s", defaults.churnS, 0.0..3_600.0),
        faultS = table.number("fault_s", defaults.faultS, 0.0..3_600.0),
        settleS = table.number("settle_s", defaults.settleS, 0.0..3_600.0),
    ).also { table.refuseUnknown() }

    private fun readWork(table: Table, defaults: Workload): Workload = Workload(
        running = table.wholeNumber("running", defaults.running, 0..200_000),
        replicas = table.wholeNumber("replicas", defaults.replicas, 1..10_000),
        startsPerS = table.number("starts_per_s", defaults.startsPerS, 0.0..10_000.0),
        arrayTasks = table.wholeNumber("array_tasks", defaults.arrayTasks, 1..10_000),
        arrayRunS = table.number("array_run_s", defaults.arrayRunS, 0.1..3_600.0),
        urgentPerS = table.number("urgent_per_s", defaults.urgentPerS, 0.0..1_000.0),
        gangTasks = table.wholeNumber("gang_tasks", defaults.gangTasks, 0..10_000),
        gangsPerMin = table.number("gangs_per_min", defaults.gangsPerMin, 0.0..600.0),
        cancelShare = table.number("cancel_share", defaults.cancelShare, 0.0..1.0),
        pipelinesPerS = table.number("pipelines_per_s", defaults.pipelinesPerS, 0.0..1_000.0),
        pipelineCancelShare = table.number("pipeline_cancel_share", defaults.pipelineCancelShare, 0.0..1.0),
        cancelAtEndShare = table.number("cancel_at_end_share", defaults.cancelAtEndShare, 0.0..1.0),
        repeatRequests = table.flag("repeat_requests", defaults.repeatRequests),
        pollEveryS = table.number("poll_every_s", defaults.pollEveryS, 0.1..3_600.0),
    ).also { table.refuseUnknown() }

    private fun readState(table: Table, defaults: StateLimits): StateLimits = StateLimits(
        rps = table.number("rps", defaults.rps, 1.0..1e6),
        writeRps = table.number("write_rps", defaults.writeRps, 1.0..1e6),
        valueKb = table.number("value_kb", defaults.valueKb, 1.0..64.0),
        txnOps = table.wholeNumber("txn_ops", defaults.txnOps, 4..10_000),
    ).also { table.refuseUnknown() }

    private fun readFault(table: Table): Fault {
        val kindName = table.text("kind")
        val kind = FaultKind.entries.find { it.name.lowercase() == kindName }
            ?: throw InvalidLoadTestPlanException(
                "faults.kind: $kindName; known are ${FaultKind.entries.joinToString(", ") {
                    it.name.lowercase()
                }}",
            )
        val fault = Fault(
            table.number("at_s", 0.0, 0.0..3_600.0),
            kind,
            table.text("target", "all"),
            table.number(
                "for_s",
                8.0,
                0.0..3_600.0,
            ),
            table.number("share", Fault.DEFAULT_SHARE, 0.0..1.0),
        )
        table.refuseUnknown()
        return fault
    }

    /**
     * A map of the plan file. It records the keys that were read, so that [refuseUnknown] can find the others.
     *
     * @property node null if the file does not contain the map; then every key has its default
     * @property prefix the path of the map in the file, with a dot at its end, for error messages
     */
    private class Table(private val node: JsonNode?, private val prefix: String) {
        private val knownKeys = HashSet<String>()

        init {
            if (node != null && !node.isMissingNode && !node.isNull && !node.isObject) {
                throw InvalidLoadTestPlanException("${prefix.trimEnd('.')}: must be a map")
            }
        }

        private fun findValue(key: String): JsonNode? {
            knownKeys.add(key)
            return node?.get(key)
        }

        fun number(key: String, default: Double, range: ClosedFloatingPointRange<Double>): Double {
            val value = findValue(key) ?: return default
            if (!value.isNumber || value.asDouble() !in range) {
                throw InvalidLoadTestPlanException(
                    "$prefix$key: ${value.asText()} must be a number in ${range.start}..${range.endInclusive}",
                )
            }
            return value.asDouble()
        }

        fun wholeNumber(key: String, default: Int, range: IntRange): Int {
            val value = findValue(key) ?: return default
            if (!value.isInt || value.asInt() !in range) {
                throw InvalidLoadTestPlanException("$prefix$key: ${value.asText()} must be a whole number in $range")
            }
            return value.asInt()
        }

        fun flag(key: String, default: Boolean): Boolean {
            val value = findValue(key) ?: return default
            if (!value.isBoolean) {
                throw InvalidLoadTestPlanException("$prefix$key: ${value.asText()} must be true or false")
            }
            return value.asBoolean()
        }

        /** Returns the text at [key]; a key without a [default] is mandatory. */
        fun text(key: String, default: String? = null): String =
            findValue(key)?.asText() ?: default ?: throw InvalidLoadTestPlanException("$prefix$key: missing")

        fun subTable(key: String) = Table(findValue(key), "$prefix$key.")

        fun subTables(key: String): List<Table> = findValue(key)?.map { Table(it, "$prefix$key.") }.orEmpty()

        /** Throws [InvalidLoadTestPlanException] if the map holds a key that was not read before this call. */
        fun refuseUnknown() {
            val unknown = node?.fieldNames()?.asSequence()?.firstOrNull { it !in knownKeys } ?: return
            throw InvalidLoadTestPlanException("$prefix$unknown: unknown; known are ${knownKeys.joinToString(", ")}")
        }
    }
}
