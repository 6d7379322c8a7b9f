package plankwall.cli.settings

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import plankwall.model.Address
import plankwall.model.CloudLimits
import plankwall.model.Objective
import plankwall.model.Peer
import plankwall.model.Settings
import plankwall.model.StateLimits
import plankwall.model.Team
import plankwall.model.WorkerTimes
import java.io.File

/** Reads the platform's settings (TOML). Unknown keys are ignored because a newer platform may write more of them. */
object SettingsFile {
    /** Reads [file]; throws [InvalidSettingsException] if it can't be read or a value is missing or out of range. */
    fun read(file: File): Settings = readSettings(file, TomlMapper(), "TOML") { read(it) }

    /** Reads settings from [root]; throws [InvalidSettingsException] if a value is missing or out of range. */
    fun read(root: JsonNode): Settings {
        val externalTable = readTable(root, "external")
        val settingsTable = readTable(root, "settings")
        val workersTable = readTable(settingsTable, "workers", "settings.")
        val stateTable = readTable(settingsTable, "state", "settings.")
        val cloudTable = readTable(settingsTable, "cloud", "settings.")
        return Settings(
            node = readText(root, "node"),
            zone = readText(root, "site"),
            front = readAddress(root, "front"),
            internal = readAddress(root, "internal_addr"),
            peers = readList(root, "known").map { readPeer(it) },
            cloudAddress = readAddress(externalTable, "cloud"),
            stateAddress = readAddress(externalTable, "state"),
            zones = readList(settingsTable, "zones").map { it.asText() },
            timeBoundMs = readNumber(settingsTable, "time_bound_ms", 0.0, 0.0, 1e6),
            teams = readList(settingsTable, "teams").map { readTeam(it) },
            objectives = readList(settingsTable, "objectives").map { readObjective(it) },
            workers = WorkerTimes(
                heartbeatIntervalS = readNumber(workersTable, "report_s", null, 0.1, 600.0),
                leaseS = readNumber(workersTable, "lease_s", null, 1.0, 3600.0),
                gangWaitS = readNumber(workersTable, "gang_wait_s", 60.0, 0.0, 3600.0),
                gangPeerS = readNumber(workersTable, "gang_peer_s", 5.0, 0.0, 3600.0),
                cancelS = readNumber(workersTable, "cancel_s", 60.0, 1.0, 3600.0),
            ),
            state = readStateLimits(stateTable, "", null),
            cloud = CloudLimits(
                rps = readNumber(cloudTable, "rps", null, 0.1, 1e6),
                listLagS = readNumber(cloudTable, "list_lag_s", 0.0, 0.0, 3600.0),
            ),
            maxConnections =
            settingsTable.get("limits")?.let { readNumber(it, "max_connections", 1000.0, 20.0, 1e6).toInt() } ?: 1000,
            stateNext = stateTable.get("next")?.let {
                if (!it.isObject) throw InvalidSettingsException("state.next", "must be a table")
                readStateLimits(it, "state.next.", readStateLimits(stateTable, "", null).rps)
            },
        )
    }

    /**
     * Reads the limits of the state service from [table]. [prefix]: the path of the table in error messages.
     * [defaultRps]: the requests per second if [table] has none; null if they must be given.
     */
    private fun readStateLimits(table: JsonNode, prefix: String, defaultRps: Double?) = StateLimits(
        rps = readNumber(table, "rps", defaultRps, 1.0, 1e6, prefix),
        writeRps = readNumber(table, "write_rps", null, 1.0, 1e6, prefix),
        valueKb = readNumber(table, "value_kb", null, 1.0, 64.0, prefix),
        txnOps = readNumber(table, "txn_ops", null, 4.0, 1e4, prefix).toInt(),
    )

    private fun readPeer(row: JsonNode): Peer {
        val address = readAddress(row, "address")
        return Peer(readText(row, "node"), readText(row, "site"), address.host, address.port)
    }

    private fun readTeam(row: JsonNode): Team {
        fun readMilli(key: String) = Math.round(readNumber(row, key, 0.0, 0.0, 1e9) * 1000)
        return Team(
            readText(row, "name"),
            readMilli("cpus"),
            readMilli("cpus_max"),
            readMilli("gpus"),
            readMilli("gpus_max"),
        )
    }

    private fun readObjective(row: JsonNode) = Objective(
        readText(row, "kind"),
        row.get("class")?.asText(),
        readNumber(row, "within_s", 0.0, 0.0, 1e9),
        readNumber(row, "share", 0.0, 0.0, 1.0),
        readNumber(row, "times", 1.0, 0.0, 1e6),
    )

    /** Returns the table [key]; throws [InvalidSettingsException] if it is missing. */
    private fun readTable(parent: JsonNode, key: String, prefix: String = ""): JsonNode =
        parent.get(key)?.takeIf { it.isObject } ?: throw InvalidSettingsException("table [$prefix$key] is missing")

    /** Returns the elements of the list [key]; none if it is missing. */
    private fun readList(parent: JsonNode, key: String): List<JsonNode> {
        val node = parent.get(key) ?: return emptyList()
        if (!node.isArray) throw InvalidSettingsException("$key", "must be a list")
        return node.toList()
    }

    private fun readText(parent: JsonNode, key: String): String =
        parent.get(key)?.takeIf { it.isTextual && it.asText().isNotEmpty() }?.asText()
            ?: throw InvalidSettingsException("$key", "is missing or not a string")

    private fun readAddress(parent: JsonNode, key: String): Address = Address.parse(readText(parent, key))
        ?: throw InvalidSettingsException("$key", "must be an address such as 10.0.0.1:8080")

    /** Reads a number in [min]..[max]. [default]: its value if it is missing; null if it must be given. */
    private fun readNumber(
        parent: JsonNode,
        key: String,
        default: Double?,
        min: Double,
        max: Double,
        prefix: String = "",
    ): Double {
        val name = "$prefix$key"
        val node = parent.get(key)
            ?: return default ?: throw InvalidSettingsException(name, "is missing; must lie in $min..$max")
        if (!node.isNumber) throw InvalidSettingsException(name, "must be a number in $min..$max")
        val value = node.asDouble()
        if (value !in min..max) throw InvalidSettingsException(name, "$value must lie in $min..$max")
        return value
    }
}
