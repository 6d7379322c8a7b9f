package plankwall.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.cli.settings.IdentitiesFile
import plankwall.cli.settings.SettingsFile
import plankwall.cli.settings.TuningFile
import plankwall.model.Tuning
import java.io.File
import java.util.concurrent.Callable

/** Checks settings files and prints a summary of what they set. */
@Command(
    name = "check-settings",
    description = ["Check settings files and print a summary of what they set."],
    mixinStandardHelpOptions = true,
)
class CheckSettings : Callable<Int> {
    @Option(names = ["--config"], required = true, paramLabel = "F", description = ["The platform's settings (TOML)."])
    lateinit var config: File

    @Option(names = ["--tuning"], paramLabel = "F", description = ["The operators' tuning settings (YAML)."])
    var tuning: File? = null

    @Option(
        names = ["--identities"],
        paramLabel = "F",
        description = ["Identities, access policy and audit log (YAML)."],
    )
    var identities: File? = null

    override fun call(): Int {
        val settings = SettingsFile.read(config)
        val operatorTuning = tuning?.let { TuningFile.read(it) } ?: Tuning()
        println(
            "node ${settings.node} in ${settings.zone}: " +
                "users and workers on ${settings.front}, peers on ${settings.internal}",
        )
        println("${settings.nodes} nodes, ${settings.teams.size} teams, zones ${settings.zones.joinToString(", ")}")
        println(operatorTuning)
        identities?.let { file ->
            val gatewaySettings = IdentitiesFile.read(file)
            val signature = gatewaySettings.nodeKey?.let { "signed by $it" } ?: "not signed"
            println("callers prove who they are to '${gatewaySettings.audience}'; checkpoints $signature")
        }
        return 0
    }
}
