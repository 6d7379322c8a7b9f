package plankwall.loadtest

import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import plankwall.model.Address
import plankwall.model.Settings
import java.io.File

/**
 * Where one controller listens and reaches the stand-ins. [peers]: the addresses under which it reaches the others, by
 * name.
 */
data class ControllerAddresses(
    val apiAddress: Address,
    val internal: Address,
    val state: Address,
    val cloud: Address,
    val peers: Map<String, Address>,
)

/** The platform's settings files of the controllers, and the command that the deploy file starts them with. */
object ControllerFiles {
    /**
     * The `run` line of [deploy], with the settings file that is to be appended, and the operators' own settings of a
     * run.
     */
    fun command(deploy: File, settings: File, tuning: File): List<String> {
        val run =
            TomlMapper().readTree(deploy).get("run")?.asText()
                ?: throw InvalidLoadTestPlanException("$deploy: no run line")
        return run.split(' ').filter { it.isNotEmpty() } + listOf(settings.path, "--tuning", tuning.path)
    }

    /**
     * The operators' [own] settings. Machines without work are kept for the whole run: it measures a size, not how fast
     * machines are returned.
     */
    fun writeTuning(file: File, own: File?) = file.writeText(
        own?.readText().orEmpty().trimEnd() + "\nunneeded_s: 7200\n",
    )

    fun write(file: File, plan: LoadTestPlan, shared: Settings, index: Int, addresses: ControllerAddresses) {
        val mapper = TomlMapper()
        val root = mapper.createObjectNode()
        root.put("node", plan.nodeName(index)).put("site", plan.zoneOfNode(index))
        root.put("front", addresses.apiAddress.toString()).put("internal_addr", addresses.internal.toString())
        val known = root.putArray("known")
        for (peer in 0 until plan.controllers) {
            if (peer == index) continue
            known.addObject().put("node", plan.nodeName(peer)).put("site", plan.zoneOfNode(peer))
                .put("address", addresses.peers.getValue(plan.nodeName(peer)).toString())
        }
        root.putObject("external").put("cloud", addresses.cloud.toString()).put("state", addresses.state.toString())
        settings(root.putObject("settings"), plan, shared)
        mapper.writeValue(file, root)
    }

    private fun settings(t: ObjectNode, plan: LoadTestPlan, shared: Settings) {
        t.put("nodes", plan.controllers).put("time_bound_ms", shared.timeBoundMs)
        t.putArray("zones").also { zones -> shared.zones.forEach { zones.add(it) } }
        val teams = t.putArray("teams")
        shared.teams.forEach { team ->
            teams.addObject().put("name", team.name).put("cpus", team.cpus / THOUSAND).put(
                "cpus_max",
                team.cpusMax / THOUSAND,
            )
                .put("gpus", team.gpus / THOUSAND).put("gpus_max", team.gpusMax / THOUSAND)
        }
        val objectives = t.putArray("objectives")
        shared.objectives.forEach { o ->
            objectives.addObject().put(
                "kind",
                o.kind,
            ).put("class", o.jobClass).put("within_s", o.withinS).put("share", o.share)
        }
        t.putObject("workers").put("report_s", shared.workers.reportS).put("lease_s", shared.workers.leaseS)
            .put(
                "gang_wait_s",
                shared.workers.gangWaitS,
            ).put("gang_peer_s", shared.workers.gangPeerS).put("cancel_s", shared.workers.cancelS)
        t.putObject("state").put("rps", shared.state.rps).put("write_rps", shared.state.writeRps)
            .put("value_kb", shared.state.valueKb).put("txn_ops", shared.state.txnOps)
        t.putObject("cloud").put("rps", shared.cloud.rps).put("list_lag_s", shared.cloud.listLagS)
        t.putObject("limits").put("memory_mb", plan.memoryMb).put("max_connections", shared.maxConnections)
    }

    private const val THOUSAND = 1000.0
}
