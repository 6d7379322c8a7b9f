package plankwall.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.cli.settings.IdentitiesFile
import plankwall.cli.settings.SettingsFile
import plankwall.cli.settings.TuningFile
import plankwall.model.Tuning
import java.io.File
import java.util.concurrent.Callable

@Command(
    name = "check-settings",
    description = ["Check settings files and say what they mean."],
    mixinStandardHelpOptions = true,
)
class CheckSettings : Callable<Int> {
    @Option(names = ["--config"], required = true, paramLabel = "F", description = ["The platform's settings (TOML)."])
    lateinit var config: File

    @Option(names = ["--tuning"], paramLabel = "F", description = ["The operators' own settings (YAML)."])
    var tuning: File? = null

    @Option(names = ["--identities"], paramLabel = "F", description = ["Identities, rights and audit trail (YAML)."])
    var identities: File? = null

    override fun call(): Int {
        val platform = SettingsFile.read(config)
        val own = tuning?.let { TuningFile.read(it) } ?: Tuning()
        println(
            "node ${platform.node} in ${platform.zone}: " +
                "users and workers on ${platform.front}, peers on ${platform.internal}",
        )
        println("${platform.nodes} nodes, ${platform.teams.size} teams, zones ${platform.zones.joinToString(", ")}")
        println(own)
        identities?.let { file ->
            val identity = IdentitiesFile.read(file)
            val signer = identity.nodeKey?.let { "signed by $it" } ?: "not signed"
            println("callers prove who they are to '${identity.audience}'; checkpoints $signer")
        }
        return 0
    }
}
