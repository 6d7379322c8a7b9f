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

/** Reads the platform's settings (TOML). Unknown fields are ignored: a newer platform may write more of them. */
object SettingsFile {
    fun read(file: File): Settings = readSettings(file, TomlMapper(), "TOML") { read(it) }

    fun read(root: JsonNode): Settings {
        val external = table(root, "external")
        val common = table(root, "settings")
        val workers = table(common, "workers", "settings.")
        val state = table(common, "state", "settings.")
        val cloud = table(common, "cloud", "settings.")
        return Settings(
            node = text(root, "node"),
            zone = text(root, "site"),
            front = address(root, "front"),
            internal = address(root, "internal_addr"),
            peers = rows(root, "known").map { peer(it) },
            cloudAddress = address(external, "cloud"),
            stateAddress = address(external, "state"),
            zones = rows(common, "zones").map { it.asText() },
            timeBoundMs = amount(common, "time_bound_ms", 0.0, 0.0, 1e6),
            teams = rows(common, "teams").map { team(it) },
            objectives = rows(common, "objectives").map { objective(it) },
            workers = WorkerTimes(
                reportS = amount(workers, "report_s", null, 0.1, 600.0),
                leaseS = amount(workers, "lease_s", null, 1.0, 3600.0),
                gangWaitS = amount(workers, "gang_wait_s", 60.0, 0.0, 3600.0),
                gangPeerS = amount(workers, "gang_peer_s", 5.0, 0.0, 3600.0),
                cancelS = amount(workers, "cancel_s", 60.0, 1.0, 3600.0),
            ),
            state = limits(state, "", null),
            cloud = CloudLimits(
                rps = amount(cloud, "rps", null, 0.1, 1e6),
                listLagS = amount(cloud, "list_lag_s", 0.0, 0.0, 3600.0),
            ),
            maxConnections =
            common.get("limits")?.let { amount(it, "max_connections", 1000.0, 20.0, 1e6).toInt() } ?: 1000,
            stateNext = state.get("next")?.let {
                if (!it.isObject) throw InvalidSettingsException("state.next", "must be a table")
                limits(it, "state.next.", limits(state, "", null).rps)
            },
        )
    }

    /** [rps]: the rate of requests where [table] holds none. */
    private fun limits(table: JsonNode, prefix: String, rps: Double?) = StateLimits(
        rps = amount(table, "rps", rps, 1.0, 1e6, prefix),
        writeRps = amount(table, "write_rps", null, 1.0, 1e6, prefix),
        valueKb = amount(table, "value_kb", null, 1.0, 64.0, prefix),
        txnOps = amount(table, "txn_ops", null, 4.0, 1e4, prefix).toInt(),
    )

    private fun peer(row: JsonNode): Peer {
        val address = address(row, "address")
        return Peer(text(row, "node"), text(row, "site"), address.host, address.port)
    }

    private fun team(row: JsonNode): Team {
        fun milli(key: String) = Math.round(amount(row, key, 0.0, 0.0, 1e9) * 1000)
        return Team(text(row, "name"), milli("cpus"), milli("cpus_max"), milli("gpus"), milli("gpus_max"))
    }

    private fun objective(row: JsonNode) = Objective(
        text(row, "kind"),
        row.get("class")?.asText(),
        amount(row, "within_s", 0.0, 0.0, 1e9),
        amount(row, "share", 0.0, 0.0, 1.0),
        amount(row, "times", 1.0, 0.0, 1e6),
    )

    private fun table(parent: JsonNode, key: String, prefix: String = ""): JsonNode =
        parent.get(key)?.takeIf { it.isObject } ?: throw InvalidSettingsException("table [$prefix$key] is missing")

    private fun rows(parent: JsonNode, key: String): List<JsonNode> {
        val node = parent.get(key) ?: return emptyList()
        if (!node.isArray) throw InvalidSettingsException("$key", "must be a list")
        return node.toList()
    }

    private fun text(parent: JsonNode, key: String): String =
        parent.get(key)?.takeIf { it.isTextual && it.asText().isNotEmpty() }?.asText()
            ?: throw InvalidSettingsException("$key", "is missing or not a text")

    private fun address(parent: JsonNode, key: String): Address = Address.parse(text(parent, key))
        ?: throw InvalidSettingsException("$key", "must be an address such as 10.0.0.1:8080")

    private fun amount(
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
