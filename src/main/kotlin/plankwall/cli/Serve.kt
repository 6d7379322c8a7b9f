package plankwall.cli

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.cli.settings.IdentitiesFile
import plankwall.cli.settings.InvalidSettingsException
import plankwall.cli.settings.SettingsFile
import plankwall.cli.settings.TuningFile
import plankwall.io.Daemon
import plankwall.model.Tuning
import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.Executors

@Command(name = "serve", description = ["Run one controller node until it is killed."], mixinStandardHelpOptions = true)
class Serve : Callable<Int> {
    @Option(names = ["--config"], required = true, paramLabel = "F", description = ["The platform's settings (TOML)."])
    lateinit var config: File

    @Option(names = ["--tuning"], paramLabel = "F", description = ["The operators' own settings (YAML)."])
    var tuning: File? = null

    @Option(
        names = ["--identities"],
        paramLabel = "F",
        description = ["Switches on identities, rights and audit trail (YAML)."],
    )
    var identities: File? = null

    override fun call(): Int {
        val settings = SettingsFile.read(config)
        val own = tuning?.let { TuningFile.read(it) } ?: Tuning()
        val proofs = identities?.let { GatewayComponents.of(IdentitiesFile.read(it), settings) }
        val main = daemonThread("core")
        val selector = SelectorManager(daemonThread("selector"))
        runBlocking {
            withContext(main) {
                val scope = CoroutineScope(main + SupervisorJob())
                try {
                    Daemon(scope, selector, settings, own, proofs).run()
                } catch (e: java.io.IOException) {
                    throw InvalidSettingsException(
                        "can't listen on ${settings.front} or ${settings.internal}: ${e.message}",
                    )
                }
            }
        }
        return 0
    }

    companion object {
        internal fun daemonThread(name: String) =
            Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }.asCoroutineDispatcher()
    }
}

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
        val s = SettingsFile.read(config)
        val own = tuning?.let { TuningFile.read(it) } ?: Tuning()
        println("node ${s.node} in ${s.zone}: users and workers on ${s.front}, peers on ${s.internal}")
        println("${s.nodes} nodes, ${s.teams.size} teams, zones ${s.zones.joinToString(", ")}")
        println(own)
        identities?.let { file ->
            val gate = IdentitiesFile.read(file)
            println(
                "callers prove who they are to '${gate.audience}'; checkpoints ${gate.nodeKey?.let {
                    "signed by $it"
                } ?: "not signed"}",
            )
        }
        return 0
    }
}
