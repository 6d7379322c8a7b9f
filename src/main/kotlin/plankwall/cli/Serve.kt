package plankwall.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.cli.settings.IdentitiesFile
import plankwall.cli.settings.InvalidSettingsException
import plankwall.cli.settings.SettingsFile
import plankwall.cli.settings.TuningFile
import plankwall.io.ControllerProcess
import plankwall.model.Tuning
import java.io.File
import java.io.IOException
import java.util.concurrent.Callable

/** Runs one controller node until the process is killed. */
@Command(name = "serve", description = ["Run one controller node until it is killed."], mixinStandardHelpOptions = true)
class Serve : Callable<Int> {
    @Option(names = ["--config"], required = true, paramLabel = "F", description = ["The platform's settings (TOML)."])
    lateinit var config: File

    @Option(names = ["--tuning"], paramLabel = "F", description = ["The operators' tuning settings (YAML)."])
    var tuning: File? = null

    @Option(
        names = ["--identities"],
        paramLabel = "F",
        description = ["Enables identities, access policy and audit log (YAML)."],
    )
    var identities: File? = null

    override fun call(): Int {
        val settings = SettingsFile.read(config)
        val operatorTuning = tuning?.let { TuningFile.read(it) } ?: Tuning()
        val accessComponents = identities?.let { GatewayComponents.create(IdentitiesFile.read(it), settings) }
        try {
            ControllerProcess.run(settings, operatorTuning, accessComponents)
        } catch (e: IOException) {
            throw InvalidSettingsException(
                "can't listen on ${settings.front} or ${settings.internal}: ${e.message}",
                e,
            )
        }
        return 0
    }
}
