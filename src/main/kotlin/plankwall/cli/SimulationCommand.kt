package plankwall.cli

import org.HdrHistogram.Histogram
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plankwall.simulation.LinkFaultScenario
import plankwall.simulation.MixedFaultScenario
import java.util.concurrent.Callable
import java.util.stream.IntStream

/** Groups the commands that simulate: the controllers' cores in virtual time, everything else simulated. */
@Command(
    name = "lab",
    description = ["Plays days in virtual time against stand-ins; needs no site."],
    mixinStandardHelpOptions = true,
    subcommands = [LinkFaultDays::class, MixedFaultDays::class, LoadTestCommand::class],
)
class SimulationCommand : Runnable {
    override fun run() = CommandLine.usage(this, System.out)
}

@Command(
    name = "links",
    description = ["Days on which links fail in part, drawn by their number; exits 1 if a rule broke."],
    mixinStandardHelpOptions = true,
)
class LinkFaultDays : Callable<Int> {
    @Option(names = ["--days"], description = ["How many."])
    private var days = 30

    @Option(names = ["--first"], description = ["The first day's number."])
    private var first = 1

    @Option(names = ["--nodes"], split = ",", description = ["Numbers of nodes, one after the other."])
    private var nodes = listOf(3, 5, 7)

    @Option(names = ["--machines"], description = ["About how many machines."])
    private var machines = 300

    @Option(names = ["--each"], description = ["Say what each day did."])
    private var each = false

    override fun call(): Int {
        val results = IntStream.range(first, first + days).parallel()
            .mapToObj { LinkFaultScenario(it.toLong(), nodes[it % nodes.size], machines).play() }.toList()
        if (each) {
            results.forEach { day ->
                println(
                    "day ${day.seed}, ${day.nodes} nodes: " +
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
        for ((nodeCount, group) in results.groupBy { it.nodes }.toSortedMap()) {
            val served = Histogram(group.first().servedMs)
            group.forEach { served.add(it.servedMs) }
            println(
                "%5d %6d %7d %16d %19d %12.1f %17.1f %4.1f %4.1f %4.1f".format(
                    nodeCount,
                    group.size,
                    group.sumOf { it.violations.size },
                    group.sumOf { it.tasksKilledByLease },
                    group.sumOf { it.avoidableKills },
                    group.map { it.leaderChanges }.average(),
                    served.seconds(percentile = 50.0),
                    served.seconds(percentile = 90.0),
                    served.seconds(percentile = 99.0),
                    served.seconds(percentile = 100.0),
                ),
            )
        }
        return if (results.any { it.violations.isNotEmpty() }) 1 else 0
    }

    private fun Histogram.seconds(percentile: Double) = getValueAtPercentile(percentile) / 1000.0
}

@Command(
    name = "nights",
    description = [
        "Days on which late boots, silent controllers, storms of polls, guests and failing jobs meet; " +
            "exits 1 if a rule broke.",
    ],
    mixinStandardHelpOptions = true,
)
class MixedFaultDays : Callable<Int> {
    @Option(names = ["--days"], description = ["How many."])
    private var days = 30

    @Option(names = ["--first"], description = ["The first day's number."])
    private var first = 1

    @Option(names = ["--nodes"], split = ",", description = ["Numbers of nodes, one after the other."])
    private var nodes = listOf(3, 5, 7)

    override fun call(): Int {
        val results = IntStream.range(first, first + days).parallel()
            .mapToObj { MixedFaultScenario(it.toLong(), nodes[it % nodes.size]).play() }.toList()
        for (day in results) {
            day.violations.forEach { println("day ${day.seed}: $it") }
            if (day.unfinishedJobs.isNotEmpty()) {
                println("day ${day.seed}, ${day.nodes} nodes: not done ${day.unfinishedJobs}; ${day.faults}")
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
