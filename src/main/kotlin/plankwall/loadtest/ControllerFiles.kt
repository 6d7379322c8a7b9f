package plankwall.loadtest

import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import plankwall.model.Address
import plankwall.model.Settings
import java.io.File

/**
 * The addresses in the settings of one controller.
 *
 * @property apiAddress the address at which it serves users and workers
 * @property internal the address at which it listens for its peers
 * @property stateAddress the address of its endpoint of the simulated state service
 * @property cloudAddress the address of its endpoint of the simulated cloud
 * @property peerAddresses the addresses of the proxies through which it reaches the other controllers, by their names
 */
data class ControllerAddresses(
    val apiAddress: Address,
    val internal: Address,
    val stateAddress: Address,
    val cloudAddress: Address,
    val peerAddresses: Map<String, Address>,
)

/**
 * Writes the settings files of the controllers, and reads the command that starts a controller from the deploy file.
 */
object ControllerFiles {
    /**
     * Returns the command line that starts a controller: the `run` line of [deploy], followed by the path of [settings]
     * and by the `--tuning` option with the path of [tuning].
     */
    fun command(deploy: File, settings: File, tuning: File): List<String> {
        val runLine =
            TomlMapper().readTree(deploy).get("run")?.asText()
                ?: throw InvalidLoadTestPlanException("$deploy: the run line is missing")
        return runLine.split(' ').filter { it.isNotEmpty() } + listOf(settings.path, "--tuning", tuning.path)
    }

    /**
     * Writes the tuning file of the controllers: the text of [operatorTuning], if there is one, and a setting that
     * keeps machines without work for the whole run, because a load test measures size and not how fast machines are
     * returned.
     */
    fun writeTuning(file: File, operatorTuning: File?) = file.writeText(
        operatorTuning?.readText().orEmpty().trimEnd() + "\nunneeded_s: 7200\n",
    )

    /**
     * Writes the settings file of the controller at [index]; [shared] holds the settings that all controllers share.
     */
    fun writeSettings(file: File, plan: LoadTestPlan, shared: Settings, index: Int, addresses: ControllerAddresses) {
        val mapper = TomlMapper()
        val root = mapper.createObjectNode()
        root.put("node", plan.nodeName(index)).put("site", plan.zoneOfNode(index))
        root.put("front", addresses.apiAddress.toString()).put("internal_addr", addresses.internal.toString())
        val known = root.putArray("known")
        for (peer in 0 until plan.controllers) {
            if (peer == index) continue
            known.addObject().put("node", plan.nodeName(peer)).put("site", plan.zoneOfNode(peer))
                .put("address", addresses.peerAddresses.getValue(plan.nodeName(peer)).toString())
        }
        root.putObject("external").put("cloud", addresses.cloudAddress.toString())
            .put("state", addresses.stateAddress.toString())
        writeSharedSettings(root.putObject("settings"), plan, shared)
        mapper.writeValue(file, root)
    }

    private fun writeSharedSettings(table: ObjectNode, plan: LoadTestPlan, shared: Settings) {
        table.put("nodes", plan.controllers).put("time_bound_ms", shared.timeBoundMs)
        table.putArray("zones").also { zones -> shared.zones.forEach { zones.add(it) } }
        val teams = table.putArray("teams")
        shared.teams.forEach { team ->
            teams.addObject().put("name", team.name).put("cpus", team.cpus / MILLIS_PER_UNIT).put(
                "cpus_max",
                team.cpusMax / MILLIS_PER_UNIT,
            )
                .put("gpus", team.gpus / MILLIS_PER_UNIT).put("gpus_max", team.gpusMax / MILLIS_PER_UNIT)
        }
        val objectives = table.putArray("objectives")
        shared.objectives.forEach { objective ->
            objectives.addObject().put(
                "kind",
                objective.kind,
            ).put("class", objective.jobClass).put("within_s", objective.withinS).put("share", objective.share)
        }
        table.putObject(
            "workers",
        ).put("report_s", shared.workers.heartbeatIntervalS).put("lease_s", shared.workers.leaseS)
            .put(
                "gang_wait_s",
                shared.workers.gangWaitS,
            ).put("gang_peer_s", shared.workers.gangPeerS).put("cancel_s", shared.workers.cancelS)
        table.putObject("state").put("rps", shared.state.rps).put("write_rps", shared.state.writeRps)
            .put("value_kb", shared.state.valueKb).put("txn_ops", shared.state.txnOps)
        table.putObject("cloud").put("rps", shared.cloud.rps).put("list_lag_s", shared.cloud.listLagS)
        table.putObject("limits").put("memory_mb", plan.memoryMb).put("max_connections", shared.maxConnections)
    }

    /**
     * The factor between the unit in which quotas are held, a thousandth of a CPU or GPU, and the unit in which they
     * are written, a CPU or GPU.
     */
    private const val MILLIS_PER_UNIT = 1000.0
}
