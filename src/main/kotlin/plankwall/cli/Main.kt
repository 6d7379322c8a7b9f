package plankwall.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import plankwall.cli.access.AuditCommand
import plankwall.cli.access.KeysCommand
import plankwall.cli.access.RightsCommand
import plankwall.cli.settings.InvalidSettingsException
import kotlin.system.exitProcess

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

class Version : CommandLine.IVersionProvider {
    override fun getVersion(): Array<String> =
        arrayOf("plankwall ${Plankwall::class.java.`package`?.implementationVersion ?: "(development)"}")
}

/** The logger reads these once, so they must stand before anything logs. */
private fun configureLogging() {
    val level = when (val wanted = System.getenv("LOG_LEVEL")?.lowercase()) {
        "error", "warn", "info", "debug" -> wanted
        else -> "info"
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
}

fun main(args: Array<String>) {
    configureLogging()
    val line = CommandLine(Plankwall())
    // A node that starts on a third of a core need not load commands that it is not asked for, nor have them in its
    // archive.
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
            line.addSubcommand(it)
        }
    }
    line.isCaseInsensitiveEnumValuesAllowed = true
    line.executionExceptionHandler = CommandLine.IExecutionExceptionHandler { e, cmd, _ ->
        if (e !is InvalidSettingsException) throw e
        cmd.err.println("plankwall: ${e.message}")
        cmd.err.flush()
        2
    }
    exitProcess(line.execute(*args))
}
