package plankwall.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.cli.settings.InvalidSettingsException
import plankwall.loadtest.InvalidLoadTestPlanException
import plankwall.loadtest.LoadTestFigures
import plankwall.loadtest.LoadTestPlan
import plankwall.loadtest.LoadTestPlanFile
import plankwall.loadtest.LoadTestReport
import plankwall.loadtest.LoadTestRun
import java.io.File
import java.nio.file.Files
import java.util.concurrent.Callable

/** Runs real controller processes with simulated workers on this machine. */
@Command(
    name = "scale",
    description = [
        "Starts real controller processes over loopback, with hollow workers, users, state service and " +
            "cloud as stand-ins, and says what",
        "each node uses. Ends by itself and ends only processes that it started. Exits 1 if a rule broke, 2 if " +
            "the run does not fit this machine.",
    ],
    mixinStandardHelpOptions = true,
)
class LoadTestCommand : Callable<Int> {
    @Option(
        names = ["--plan"],
        paramLabel = "F",
        description = ["The whole plan (YAML); the options below go before it."],
    )
    private var file: File? = null

    @Option(names = ["--workers"], description = ["How many hollow workers."])
    private var workers: Int? = null

    @Option(names = ["--controllers"], description = ["How many controller processes."])
    private var controllers: Int? = null

    @Option(names = ["--teams"], description = ["How many teams."])
    private var teams: Int? = null

    @Option(names = ["--zones"], description = ["How many zones."])
    private var zones: Int? = null

    @Option(names = ["--regions"], description = ["How many regions the zones belong to."])
    private var regions: Int? = null

    @Option(names = ["--running"], description = ["Tasks of services that run throughout."])
    private var running: Int? = null

    @Option(
        names = ["--starts"],
        paramLabel = "N",
        description = ["Task starts a second that the arriving jobs ask for."],
    )
    private var starts: Double? = null

    @Option(names = ["--seed"], description = ["Draws arrivals and delays."])
    private var seed: Long? = null

    @Option(
        names = ["--deploy"],
        paramLabel = "F",
        description = ["The file whose run line starts a controller (default: \${DEFAULT-VALUE})."],
    )
    private var deploy = File("deploy/service.toml")

    @Option(
        names = ["--tuning"],
        paramLabel = "F",
        description = ["The operators' own settings (YAML) for the controllers."],
    )
    private var tuning: File? = null

    @Option(
        names = ["--folder"],
        paramLabel = "DIR",
        description = [
            "Keeps settings and logs of the controllers here (default: a new folder under the temporary one).",
        ],
    )
    private var folder: File? = null

    @Option(
        names = ["--node-log"],
        paramLabel = "LEVEL",
        description = ["LOG_LEVEL of the controllers (default: \${DEFAULT-VALUE})."],
    )
    private var nodeLog = "info"

    @Option(names = ["--report"], paramLabel = "F", description = ["Writes the figures as JSON."])
    private var report: File? = null

    override fun call(): Int {
        if (!deploy.isFile) {
            throw InvalidSettingsException(
                "$deploy",
                "no such file; run this at the root of the project, after a build",
            )
        }
        val figures = try {
            val into = folder ?: Files.createTempDirectory("plankwall-scale").toFile()
            LoadTestRun(plan(), deploy, into, tuning, nodeLog) { println(it) }.play()
        } catch (e: InvalidLoadTestPlanException) {
            throw InvalidSettingsException(e.message.orEmpty(), e)
        }
        report?.writeText(LoadTestReport.json(figures))
        printSummary(figures)
        return if (figures.violations.isEmpty()) 0 else 1
    }

    private fun plan(): LoadTestPlan {
        val base = file?.let(LoadTestPlanFile::read) ?: LoadTestPlan()
        return base.copy(
            workers = workers ?: base.workers,
            controllers = controllers ?: base.controllers,
            teams = teams ?: base.teams,
            zones = zones ?: base.zones,
            regions = regions ?: base.regions,
            seed = seed ?: base.seed,
            work = base.work.copy(running = running ?: base.work.running, startsPerS = starts ?: base.work.startsPerS),
        )
    }

    private fun printSummary(figures: LoadTestFigures) {
        figures.faults.forEach { outcome ->
            val fault = outcome.fault
            val served = outcome.servedAgainS?.let { "99%% of the workers served again after %.1f s".format(it) }
                ?: "99% of the workers not served again within the run"
            println("${fault.kind.name.lowercase()} ${fault.target} (${outcome.hit.joinToString(" ")}): $served")
        }
        println(
            "services: ${figures.serviceTasksStarted} of ${figures.serviceTasks} tasks begun; " +
                "jobs given up by their users: ${figures.givenUp}; " +
                "controllers ended by themselves: ${figures.endedByItself}",
        )
        if (figures.violations.isEmpty()) println("no rule broken")
        figures.violations.take(MAX_SHOWN).forEach { println("rule broken: $it") }
    }

    private companion object {
        const val MAX_SHOWN = 20
    }
}
