package plankwall.load

import org.HdrHistogram.Histogram
import plankwall.core.placement.Placer
import plankwall.fixtures.CoreParts
import plankwall.model.Objective
import plankwall.model.Priority
import plankwall.simulation.SimulatedCluster

/**
 * Measures the duration of a placement pass without free capacity: 1,000 jobs of 40 tasks wait while all machines are
 * full. Passes that evaluate the whole backlog again, one in ten, are listed separately. Run by hand with the JVM flags
 * of the small machine: `-XX:TieredStopAtLevel=1 -XX:+UseSerialGC`.
 */
object PlacementPass {
    private const val JOBS = 1_000

    @JvmStatic
    fun main(args: Array<String>) {
        println("machines  cloud     pass p50, p99 (ms)   evaluating pass p50, p99 (ms)")
        for (machines in listOf(1_000, 3_000, 10_000)) for (isScarce in listOf(false, true)) measure(machines, isScarce)
    }

    /** Measures with [machines] machines. [isCloudScarce]: whether the cloud has no machine that the jobs may use. */
    private fun measure(machines: Int, isCloudScarce: Boolean) {
        val core = CoreParts(listOf(Objective("wait", "class", 120.0, 0.9), Objective("finished", "class", 300.0, 0.9)))
        val placer =
            Placer(core.ctx, core.schedulerState, core.fleet).apply { pendingQueue.isScarce = { isCloudScarce } }
        val running = core.learn(SimulatedCluster.job(1, tasks = machines * 4, runS = 60.0))
        for (n in 0 until machines) {
            val machine = core.machine("i-%06d".format(n)).apply { registeredAt = core.ctx.now }
            repeat(4) { core.schedulerState.place(running, n * 4 + it, machine, n * 4L + it) }
        }
        for (n in 2..JOBS + 1) {
            core.learn(
                SimulatedCluster.job(
                    n,
                    tasks = 40,
                    runS = 30.0 + n % 60,
                    priority = Priority.entries[
                        n %
                            3,
                    ],
                ),
                waitedS = (n % 400).toDouble(),
            )
        }
        val (ordinaryPasses, evaluatingPasses) = List(2) { Histogram(60_000_000, 3) }
        repeat(400) { round ->
            core.ctx.time.advance(core.ctx.now + 0.1, core.ctx.time.wallMs + 100)
            core.fleet.machines.forEach { it.lastHeartbeatAt = core.ctx.now }
            val startedNs = System.nanoTime()
            placer.runPass()
            val durationUs = (System.nanoTime() - startedNs) / 1_000
            if (round >= 100) (if (round % 10 == 0) evaluatingPasses else ordinaryPasses).recordValue(durationUs)
        }
        fun Histogram.percentileMs(percentile: Double) = getValueAtPercentile(percentile) / 1000.0
        println(
            "%8d  %-6s %10.1f %6.1f %18.1f %6.1f".format(
                machines,
                if (isCloudScarce) "full" else "open",
                ordinaryPasses.percentileMs(50.0),
                ordinaryPasses.percentileMs(99.0),
                evaluatingPasses.percentileMs(50.0),
                evaluatingPasses.percentileMs(99.0),
            ),
        )
    }
}
