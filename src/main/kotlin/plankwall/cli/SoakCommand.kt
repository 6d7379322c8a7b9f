package plankwall.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.cli.settings.InvalidSettingsException
import plankwall.loadtest.FaultOutcome
import plankwall.loadtest.InvalidLoadTestPlanException
import plankwall.loadtest.LoadTestFigures
import plankwall.loadtest.LoadTestRun
import plankwall.loadtest.SoakPlan
import java.io.File
import java.nio.file.Files
import java.util.concurrent.Callable

/** Runs real controller processes under faults drawn by seed, and checks all rules from outside. */
@Command(
    name = "soak",
    description = [
        "Starts real controller processes over loopback and injects faults drawn by seed, several at a time, while " +
            "simulated users cancel, ask and repeat at all controllers.",
        "Checks the rules from outside. Stops only processes that it started. Exits 1 if a rule broke, 2 for an " +
            "invalid option or a run that does not fit this machine.",
    ],
    mixinStandardHelpOptions = true,
)
class SoakCommand : Callable<Int> {
    @Option(names = ["--first"], description = ["The first seed (default: \${DEFAULT-VALUE})."])
    private var first = 1

    @Option(names = ["--runs"], description = ["The number of seeds, one run each (default: \${DEFAULT-VALUE})."])
    private var runs = 1

    @Option(names = ["--workers"], description = ["The number of simulated workers (default: \${DEFAULT-VALUE})."])
    private var workers = 40

    @Option(names = ["--seconds"], description = ["Seconds with faults in each run (default: \${DEFAULT-VALUE})."])
    private var seconds = 30

    @Option(
        names = ["--deploy"],
        paramLabel = "F",
        description = ["The file whose run line starts a controller (default: \${DEFAULT-VALUE})."],
    )
    private var deploy = File("deploy/service.toml")

    @Option(
        names = ["--folder"],
        paramLabel = "DIR",
        description = ["Where to keep the logs of runs that broke a rule (default: a new temporary folder)."],
    )
    private var folder: File? = null

    @Option(
        names = ["--node-log"],
        paramLabel = "LEVEL",
        description = ["LOG_LEVEL of the controllers (default: \${DEFAULT-VALUE})."],
    )
    private var nodeLog = "debug"

    override fun call(): Int {
        checkOptions()
        val outputFolder = folder ?: Files.createTempDirectory("plankwall-soak").toFile()
        val failedRuns = (first until first + runs).count { seed -> !playSeed(seed, File(outputFolder, "seed-$seed")) }
        println("$runs runs: $failedRuns broke a rule")
        return if (failedRuns == 0) 0 else 1
    }

    private fun checkOptions() {
        if (!deploy.isFile) {
            throw InvalidSettingsException(
                "$deploy",
                "no such file; run this command at the root of the project, after a build",
            )
        }
        checkRange("--first", first, 0..MAX_SEED)
        checkRange("--runs", runs, 1..MAX_RUNS)
        checkRange("--workers", workers, 1..MAX_WORKERS)
        checkRange("--seconds", seconds, MIN_SECONDS..MAX_SECONDS)
    }

    private fun checkRange(option: String, value: Int, range: IntRange) {
        if (value !in range) throw InvalidSettingsException(option, "$value is not in $range")
    }

    /** Plays the run of [seed] and returns whether it broke no rule; its files are then deleted. */
    private fun playSeed(seed: Int, runFolder: File): Boolean {
        val plan = SoakPlan.draw(seed.toLong(), workers, seconds.toDouble())
        val figures = try {
            LoadTestRun(plan, deploy, runFolder, null, nodeLog) {}.play()
        } catch (e: InvalidLoadTestPlanException) {
            throw InvalidSettingsException(e.message.orEmpty(), e)
        }
        val contradictions = countContradictions(runFolder)
        val isSound = figures.violations.isEmpty() && contradictions == 0 && figures.endedByItself == 0
        printRun(seed, figures, contradictions)
        figures.answersOvertaken.take(MAX_SHOWN_VIOLATIONS).forEach { println("  answer overtaken: $it") }
        if (isSound) {
            runFolder.deleteRecursively()
        } else {
            figures.violations.take(MAX_SHOWN_VIOLATIONS).forEach { println("  rule broken: $it") }
            println("  logs: $runFolder")
            println(
                "  again: java -jar target/plankwall.jar lab soak --first $seed --workers $workers --seconds $seconds",
            )
        }
        return isSound
    }

    /** Returns the number of times that a controller found its own answers in contradiction. */
    private fun countContradictions(runFolder: File): Int = runFolder.listFiles().orEmpty()
        .filter { it.extension == "log" }
        .sumOf { log -> log.useLines { lines -> lines.count { CONTRADICTION in it } } }

    private fun printRun(seed: Int, figures: LoadTestFigures, contradictions: Int) {
        println(
            "seed $seed: rules broken ${figures.violations.size}, contradictions $contradictions, " +
                "ended by themselves ${figures.endedByItself}; jobs ${figures.jobs}, requests " +
                "${figures.userRequests}, leaders ${figures.leaderEpochs}, answers overtaken " +
                "${figures.answersOvertaken.size}, given up ${figures.givenUp}",
        )
        println("  faults: ${figures.faults.joinToString("; ", transform = ::describe)}")
        println(
            "  calls of the state service: " +
                figures.storeCalls.entries.sortedBy {
                    it.key
                }.joinToString { "${it.key.name.lowercase()} ${it.value}" },
        )
    }

    private fun describe(outcome: FaultOutcome): String = "%.1f s %s %s".format(
        outcome.fault.startS,
        outcome.fault.kind.name.lowercase(),
        outcome.hit.joinToString(" ").ifEmpty { "nothing" },
    )

    private companion object {
        const val MAX_SEED = 1_000_000
        const val MAX_RUNS = 1_000
        const val MAX_WORKERS = 1_000
        const val MIN_SECONDS = 10
        const val MAX_SECONDS = 600
        const val MAX_SHOWN_VIOLATIONS = 20

        /** The beginning of the log line by which a controller reports that its answers contradict each other. */
        const val CONTRADICTION = "final stage contradicted"
    }
}
