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

/** Runs a load test: real controller processes on this machine, with everything around them simulated. */
@Command(
    name = "scale",
    description = [
        "Starts real controller processes over loopback, with simulated workers, users, state service and " +
            "cloud, and reports what resources",
        "each node uses. Ends by itself and stops only processes that it started. Exits 1 if a rule broke, 2 if " +
            "the run does not fit this machine.",
    ],
    mixinStandardHelpOptions = true,
)
class LoadTestCommand : Callable<Int> {
    @Option(
        names = ["--plan"],
        paramLabel = "F",
        description = ["The load-test plan (YAML); the options below override it."],
    )
    private var file: File? = null

    @Option(names = ["--workers"], description = ["The number of simulated workers."])
    private var workers: Int? = null

    @Option(names = ["--controllers"], description = ["The number of controller processes."])
    private var controllers: Int? = null

    @Option(names = ["--teams"], description = ["The number of teams."])
    private var teams: Int? = null

    @Option(names = ["--zones"], description = ["The number of zones."])
    private var zones: Int? = null

    @Option(names = ["--regions"], description = ["The number of regions that the zones belong to."])
    private var regions: Int? = null

    @Option(names = ["--running"], description = ["The number of service tasks that run throughout."])
    private var running: Int? = null

    @Option(
        names = ["--starts"],
        paramLabel = "N",
        description = ["Task starts per second that the arriving jobs demand."],
    )
    private var starts: Double? = null

    @Option(names = ["--seed"], description = ["Seed of the random arrivals and delays."])
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
        description = ["The operators' tuning settings (YAML) for the controllers."],
    )
    private var tuning: File? = null

    @Option(
        names = ["--folder"],
        paramLabel = "DIR",
        description = [
            "Where to keep the controllers' settings and logs (default: a new temporary folder).",
        ],
    )
    private var folder: File? = null

    @Option(
        names = ["--node-log"],
        paramLabel = "LEVEL",
        description = ["LOG_LEVEL of the controllers (default: \${DEFAULT-VALUE})."],
    )
    private var nodeLog = "info"

    @Option(names = ["--report"], paramLabel = "F", description = ["Write the figures to this file as JSON."])
    private var report: File? = null

    override fun call(): Int {
        if (!deploy.isFile) {
            throw InvalidSettingsException(
                "$deploy",
                "no such file; run this command at the root of the project, after a build",
            )
        }
        val figures = try {
            val outputFolder = folder ?: Files.createTempDirectory("plankwall-scale").toFile()
            LoadTestRun(buildPlan(), deploy, outputFolder, tuning, nodeLog) { println(it) }.play()
        } catch (e: InvalidLoadTestPlanException) {
            throw InvalidSettingsException(e.message.orEmpty(), e)
        }
        report?.writeText(LoadTestReport.json(figures))
        printSummary(figures)
        return if (figures.violations.isEmpty()) 0 else 1
    }

    /** Returns the plan of the file, or the default one, with the values of the other options. */
    private fun buildPlan(): LoadTestPlan {
        val basePlan = file?.let(LoadTestPlanFile::read) ?: LoadTestPlan()
        return basePlan.copy(
            workers = workers ?: basePlan.workers,
            controllers = controllers ?: basePlan.controllers,
            teams = teams ?: basePlan.teams,
            zones = zones ?: basePlan.zones,
            regions = regions ?: basePlan.regions,
            seed = seed ?: basePlan.seed,
            work = basePlan.work.copy(
                running = running ?: basePlan.work.running,
                startsPerS = starts ?: basePlan.work.startsPerS,
            ),
        )
    }

    private fun printSummary(figures: LoadTestFigures) {
        figures.faults.forEach { outcome ->
            val fault = outcome.fault
            val recovery = outcome.servedAgainS?.let { "99%% of the workers served again after %.1f s".format(it) }
                ?: "99% of the workers not served again within the run"
            println("${fault.kind.name.lowercase()} ${fault.target} (${outcome.hit.joinToString(" ")}): $recovery")
        }
        println(
            "services: ${figures.serviceTasksStarted} of ${figures.serviceTasks} tasks begun; " +
                "jobs given up by their users: ${figures.givenUp}; " +
                "controllers ended by themselves: ${figures.endedByItself}",
        )
        if (figures.violations.isEmpty()) println("no rule broken")
        figures.violations.take(MAX_SHOWN_VIOLATIONS).forEach { println("rule broken: $it") }
    }

    private companion object {
        const val MAX_SHOWN_VIOLATIONS = 20
    }
}
