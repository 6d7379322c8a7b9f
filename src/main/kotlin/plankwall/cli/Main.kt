package plankwall.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import plankwall.cli.access.AuditCommand
import plankwall.cli.access.KeysCommand
import plankwall.cli.access.RightsCommand
import plankwall.cli.settings.InvalidSettingsException
import kotlin.system.exitProcess

/** The root command, which prints its usage. [main] adds further subcommands unless a node is to be started. */
@Command(
    name = "plankwall",
    description = ["A cluster scheduler: rents machines and runs jobs on them."],
    mixinStandardHelpOptions = true,
    versionProvider = Version::class,
    subcommands = [Serve::class, WarmUp::class],
)
class Plankwall : Runnable {
    override fun run() = CommandLine.usage(this, System.out)
}

/** Supplies the version from the jar's manifest for `--version`. */
class Version : CommandLine.IVersionProvider {
    override fun getVersion(): Array<String> =
        arrayOf("plankwall ${Plankwall::class.java.`package`?.implementationVersion ?: "(development)"}")
}

/** Sets the properties of the logger. It reads them only once, so this must run before anything is logged. */
private fun configureLogging() {
    val level = when (val requestedLevel = System.getenv("LOG_LEVEL")?.lowercase()) {
        "error", "warn", "info", "debug" -> requestedLevel
        else -> "info"
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}

/** Runs the command in [args] and ends the process with its exit code; 2 for unusable settings or other input. */
fun main(args: Array<String>) {
    configureLogging()
    val commandLine = CommandLine(Plankwall())
    // A node may have only a third of a processor core to start on. It loads none of the other commands, and the class
    // archive that `warm-up` records does not contain them.
    if (args.firstOrNull() !in setOf("serve", "warm-up")) {
        listOf(
            SimulationCommand(),
            CheckSettings(),
            Submit(),
            Show(),
            Cancel(),
            KeysCommand(),
            RightsCommand(),
            AuditCommand(),
        ).forEach {
            commandLine.addSubcommand(it)
        }
    }
    commandLine.isCaseInsensitiveEnumValuesAllowed = true
    commandLine.executionExceptionHandler = CommandLine.IExecutionExceptionHandler { exception, command, _ ->
        if (exception !is InvalidSettingsException) throw exception
        command.err.println("plankwall: ${exception.message}")
        command.err.flush()
        2
    }
    exitProcess(commandLine.execute(*args))
}
