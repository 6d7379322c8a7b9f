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
import java.io.IOException
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
        val access = identities?.let { GatewayComponents.of(IdentitiesFile.read(it), settings) }
        val main = daemonThread("core")
        val selector = SelectorManager(daemonThread("selector"))
        runBlocking {
            withContext(main) {
                val scope = CoroutineScope(main + SupervisorJob())
                try {
                    Daemon(scope, selector, settings, own, access).run()
                } catch (e: IOException) {
                    throw InvalidSettingsException(
                        "can't listen on ${settings.front} or ${settings.internal}: ${e.message}",
                        e,
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
