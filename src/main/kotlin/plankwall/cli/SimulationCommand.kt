package plankwall.cli

import org.HdrHistogram.Histogram
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.simulation.LinkFaultScenario
import plankwall.simulation.MixedFaultScenario
import java.util.concurrent.Callable
import java.util.stream.IntStream

/**
 * Groups the commands for simulations. `links` and `nights` run the controllers' core in virtual time and simulate
 * everything else; `scale` and `soak` run real controller processes.
 */
@Command(
    name = "lab",
    description = ["Run simulations and load tests; needs no running cluster."],
    mixinStandardHelpOptions = true,
    subcommands = [LinkFaultDays::class, MixedFaultDays::class, LoadTestCommand::class, SoakCommand::class],
)
class SimulationCommand : Runnable {
    override fun run() = CommandLine.usage(this, System.out)
}

/** Simulates days on which network links fail in part, and reports how the cluster coped. */
@Command(
    name = "links",
    description = ["Simulate days with partial network failures, seeded by the day's number; exits 1 if a rule broke."],
    mixinStandardHelpOptions = true,
)
class LinkFaultDays : Callable<Int> {
    @Option(names = ["--days"], description = ["The number of days."])
    private var days = 30

    @Option(names = ["--first"], description = ["The number of the first day."])
    private var first = 1

    @Option(names = ["--nodes"], split = ",", description = ["Numbers of controllers, used by the days in turn."])
    private var nodes = listOf(3, 5, 7)

    @Option(names = ["--machines"], description = ["The approximate number of machines."])
    private var machines = 300

    @Option(names = ["--each"], description = ["Print a line about each day."])
    private var each = false

    override fun call(): Int {
        val results = IntStream.range(first, first + days).parallel()
            .mapToObj { LinkFaultScenario(it.toLong(), nodes[it % nodes.size], machines).play() }.toList()
        if (each) {
            results.forEach { day ->
                println(
                    "day ${day.seed}, ${day.nodeCount} nodes: " +
                        "killed ${day.tasksKilledByLease} (${day.avoidableKills}), " +
                        "leads ${day.leaderChanges}; ${day.faults}",
                )
            }
        }
        results.forEach { day -> day.violations.forEach { println("day ${day.seed}: $it") } }
        println(
            "nodes   days  broken  killed by lease  of these avoidable  leads a day  " +
                "served after p50  p90  p99  max (s)",
        )
        for ((nodeCount, sameSizeResults) in results.groupBy { it.nodeCount }.toSortedMap()) {
            val servedMs = Histogram(sameSizeResults.first().servedMs)
            sameSizeResults.forEach { servedMs.add(it.servedMs) }
            println(
                "%5d %6d %7d %16d %19d %12.1f %17.1f %4.1f %4.1f %4.1f".format(
                    nodeCount,
                    sameSizeResults.size,
                    sameSizeResults.sumOf { it.violations.size },
                    sameSizeResults.sumOf { it.tasksKilledByLease },
                    sameSizeResults.sumOf { it.avoidableKills },
                    sameSizeResults.map { it.leaderChanges }.average(),
                    servedMs.valueInSeconds(percentile = 50.0),
                    servedMs.valueInSeconds(percentile = 90.0),
                    servedMs.valueInSeconds(percentile = 99.0),
                    servedMs.valueInSeconds(percentile = 100.0),
                ),
            )
        }
        return if (results.any { it.violations.isNotEmpty() }) 1 else 0
    }

    private fun Histogram.valueInSeconds(percentile: Double) = getValueAtPercentile(percentile) / 1000.0
}

/** Simulates days on which several kinds of faults come together, and reports jobs that were not done. */
@Command(
    name = "nights",
    description = [
        "Simulate days with late boots, silent controllers, bursts of polls, best-effort and failing jobs; " +
            "exits 1 if a rule broke.",
    ],
    mixinStandardHelpOptions = true,
)
class MixedFaultDays : Callable<Int> {
    @Option(names = ["--days"], description = ["The number of days."])
    private var days = 30

    @Option(names = ["--first"], description = ["The number of the first day."])
    private var first = 1

    @Option(names = ["--nodes"], split = ",", description = ["Numbers of controllers, used by the days in turn."])
    private var nodes = listOf(3, 5, 7)

    override fun call(): Int {
        val results = IntStream.range(first, first + days).parallel()
            .mapToObj { MixedFaultScenario(it.toLong(), nodes[it % nodes.size]).play() }.toList()
        for (day in results) {
            day.violations.forEach { println("day ${day.seed}: $it") }
            if (day.unfinishedJobs.isNotEmpty()) {
                println("day ${day.seed}, ${day.nodeCount} nodes: not done ${day.unfinishedJobs}; ${day.faults}")
            }
        }
        println(
            "%d days: %d rules broken, %d jobs not done, at most %d machines at a time, %d starts".format(
                days,
                results.sumOf { it.violations.size },
                results.sumOf { it.unfinishedJobs.size },
                results.maxOf { it.maxInstances },
                results.sumOf { it.starts },
            ),
        )
        return if (results.any { it.violations.isNotEmpty() }) 1 else 0
    }
}
