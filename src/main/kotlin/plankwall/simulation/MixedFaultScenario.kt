package plankwall.simulation

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import plankwall.model.JobSpec
import plankwall.model.Objective
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * A run drawn by [seed] in which the faults that operators reported come together: machines late or never, silent
 * controllers, storms of polls, best-effort jobs, jobs that fail everywhere beside machines that fail everything.
 */
class MixedFaultScenario(private val seed: Long, private val nodes: Int) {
    /**
     * [unfinishedJobs]: sound jobs that somebody stated an aim for and that were not done by the end, guests' sweep and
     * probes included.
     */
    class Result(
        val seed: Long,
        val nodes: Int,
        val faults: List<String>,
        val violations: List<String>,
        val unfinishedJobs: List<String>,
        val maxInstances: Int,
        val starts: Int,
    )

    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val faults = ArrayList<String>()
    private val cluster =
        SimulatedCluster(
            seed,
            nodes,
            objectives = listOf("class", "probes", "sweep").map {
                Objective("finished", it, 120.0, 0.9)
            },
        )
    private val sound = ArrayList<String>()

    fun play(endS: Double = 420.0): Result {
        cluster.cloud.capacity = CAPACITY
        work()
        listOf(::lateBoots, ::silence, ::silence, ::storm, ::bestEffort, ::failingTasks).forEach { it() }
        if (random.nextInt(3) == 0) outage()
        cluster.clock.runUntil(endS)
        // The last look is at a quiet site.
        val unfinishedJobs = sound.filter { id -> cluster.stageOf(id) != "done" }
        return Result(
            seed,
            nodes,
            faults,
            cluster.checker.violations.toList(),
            unfinishedJobs,
            cluster.cloud.maxInstances,
            cluster.checker.starts,
        )
    }

    private fun at(from: Double = EARLIEST_S, to: Double = LATEST_S): Double = from + random.nextDouble() * (to - from)

    private fun submit(spec: JobSpec, at: Double, cancelAfter: Double? = null) {
        cluster.clock.after(at) { cluster.submit(spec, cancelAfter) }
        if (cancelAfter == null && spec.shape != Shape.SERVICE && spec.jobClass != SPARE) sound.add(spec.id)
    }

    private fun work() {
        for (n in 1..8) {
            submit(
                SimulatedCluster.job(
                    n,
                    Shape.SERVICE,
                    tasks = 4,
                    priority = Priority.PRODUCTION,
                    spread = n % 2 == 0,
                    team = if (n == 1) "red" else "blue",
                ),
                1.0 + n * 0.1,
            )
        }
        for (n in 20..45) {
            submit(
                SimulatedCluster.job(
                    n,
                    if (n % 4 == 0) Shape.GANG else Shape.ARRAY,
                    tasks = 1 + n % 5,
                    runS = 15.0 + n % 20,
                    oneZone = n % 8 == 0,
                    priority = Priority.entries[
                        n %
                            3,
                    ],
                ),
                5.0 + (n - 20) * 8.0,
                if (n % 9 == 0) 10.0 else null,
            )
        }
    }

    private fun lateBoots() {
        val at = at(5.0)
        val fail = random.nextDouble() * 0.4
        val factor = 2.0 + random.nextDouble() * 6.0
        note("boots %.1f times as long, %.2f never".format(factor, fail), at)
        cluster.clock.after(at) {
            cluster.cloud.bootFailureShare = fail
            cluster.cloud.bootFactor = factor
        }
        cluster.clock.after(at + 80.0) {
            cluster.cloud.bootFailureShare = 0.0
            cluster.cloud.bootFactor = 1.0
        }
    }

    /** The leader, or two nodes, again soon after one is back now and then. */
    private fun silence() {
        val at = at()
        val forS = 20.0 + random.nextDouble() * 60.0
        val kind = random.nextInt(5)
        val count = 1 + random.nextInt(2)
        note("$count silent for %.0f s, kind $kind".format(forS), at)
        cluster.clock.after(at) {
            val chosen = (cluster.nodes.filter { it.leading } + cluster.nodes).distinct().take(count)
            for (node in chosen) {
                when (kind) {
                    0 -> if (node.up) node.crash(forS)
                    1 -> node.freeze(forS)
                    else -> {
                        val links = listOf("state", "workers", "state workers peers")[kind - 2].split(' ').map {
                            "${node.name}-$it"
                        }
                        cluster.faults.cuts.addAll(links)
                        cluster.clock.after(forS) { cluster.faults.cuts.removeAll(links.toSet()) }
                    }
                }
            }
        }
    }

    private fun storm() {
        val at = at()
        note("polls eight times as often", at)
        cluster.clock.after(at) { cluster.faults.pollFactor = 8.0 }
        cluster.clock.after(at + 60.0) { cluster.faults.pollFactor = 1.0 }
    }

    private fun bestEffort() {
        val at = at()
        val sweep = SimulatedCluster.job(
            300,
            tasks = 1_000 + random.nextInt(3_000),
            runS = 1.5,
        ).copy(jobClass = "sweep", need = SMALL, priority = Priority.LOW, spot = true)
        note("guests, a sweep of ${sweep.tasks}", at)
        submit(sweep, at)
        for (n in 400..480) {
            submit(
                SimulatedCluster.job(
                    n,
                    tasks = 1,
                    runS = 10.0,
                ).copy(jobClass = "probes", need = SMALL, priority = Priority.LOW),
                at(
                    at,
                    at + 4.0,
                ),
            )
        }
        for (n in 500..503) {
            submit(
                SimulatedCluster.job(
                    n,
                    tasks = 30,
                    runS = 60.0,
                ).copy(jobClass = SPARE, priority = Priority.LOW, spot = true),
                at,
            )
        }
    }

    private fun failingTasks() {
        val at = at()
        val failsEveryTask = random.nextInt(4)
        note("$failsEveryTask machines fail everything, jobs with a mistake", at)
        for (n in 600..605) {
            val spec = SimulatedCluster.job(
                n,
                if (n % 2 == 0) Shape.GANG else Shape.ARRAY,
                tasks = 1 + n % 6,
                runS = 20.0,
                priority = Priority.HIGH,
            )
            cluster.faults.faultyJobs.add(spec.id)
            submit(spec, at(at - 20.0, at + 60.0), cancelAfter = 50.0)
        }
        cluster.clock.after(at) { cluster.cloud.workers.take(failsEveryTask).forEach { it.failsEveryTask = true } }
        cluster.clock.after(at + 90.0) { cluster.cloud.workers.forEach { it.failsEveryTask = false } }
    }

    private fun outage() {
        val at = at()
        note("the state service away", at)
        cluster.clock.after(at) { cluster.state.outage = true }
        cluster.clock.after(at + 10.0) { cluster.state.outage = false }
    }

    private fun note(what: String, at: Double) {
        faults.add("$what at %.0f s".format(at))
    }

    private companion object {
        const val CAPACITY = 60
        const val EARLIEST_S = 30.0
        const val LATEST_S = 190.0
        const val SPARE = "spare"
        val SMALL = Resources(250, 0, 500)
    }
}
