package plankwall.simulation

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import plankwall.model.JobSpec
import plankwall.model.Objective
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * A simulated run on [nodeCount] controllers, drawn by [seed], which combines faults that operators reported: machines
 * that boot late or never, controllers that go silent, bursts of polls, many best-effort jobs, and jobs that fail on
 * every machine together with machines that fail every task.
 */
class MixedFaultScenario(private val seed: Long, private val nodeCount: Int) {
    /**
     * The outcome of a run. [unfinishedJobs] are the jobs that had to be done at the end and were not: those without an
     * error of their own that no user cancelled and whose class has an objective, best-effort classes `sweep` and
     * `probes` included. [maxInstances] is the largest number of machines rented at one time, [starts] the number of
     * task starts.
     */
    class Result(
        val seed: Long,
        val nodeCount: Int,
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
            nodeCount,
            objectives = listOf("class", "probes", "sweep").map {
                Objective("finished", it, 120.0, 0.9)
            },
        )

    /** Ids of the jobs that have to be done at the end. */
    private val requiredIds = ArrayList<String>()

    /** Plays the run until [endS] seconds of virtual time and returns its outcome. */
    fun play(endS: Double = 420.0): Result {
        cluster.cloud.capacity = MAX_MACHINES
        submitSteadyJobs()
        listOf(
            ::injectLateBoots,
            ::silenceControllers,
            ::silenceControllers,
            ::raisePollRate,
            ::submitBestEffortJobs,
            ::injectFailingTasks,
        ).forEach { it() }
        if (random.nextInt(3) == 0) injectStoreOutage()
        cluster.clock.runUntil(endS)
        // By now all faults are over and the cluster is quiet.
        val unfinishedJobs = requiredIds.filter { id -> cluster.stageOf(id) != "done" }
        return Result(
            seed,
            nodeCount,
            faults,
            cluster.checker.violations.toList(),
            unfinishedJobs,
            cluster.cloud.maxInstances,
            cluster.checker.starts,
        )
    }

    /** Draws a time between [fromS] and [toS]. */
    private fun drawTimeS(fromS: Double = EARLIEST_S, toS: Double = LATEST_S): Double =
        fromS + random.nextDouble() * (toS - fromS)

    /**
     * Schedules the submission of [spec] at [atS]. The job has to be done at the end unless it gets cancelled, is a
     * service, or is of [SPARE_CLASS].
     */
    private fun submit(spec: JobSpec, atS: Double, cancelAfterS: Double? = null) {
        cluster.clock.after(atS) { cluster.submit(spec, cancelAfterS) }
        if (cancelAfterS == null && spec.shape != Shape.SERVICE && spec.jobClass != SPARE_CLASS) {
            requiredIds.add(spec.id)
        }
    }

    /** Submits services at the start, and gangs and arrays one after the other. */
    private fun submitSteadyJobs() {
        for (number in 1..8) {
            submit(
                SimulatedCluster.job(
                    number,
                    Shape.SERVICE,
                    tasks = 4,
                    priority = Priority.PRODUCTION,
                    spread = number % 2 == 0,
                    team = if (number == 1) "red" else "blue",
                ),
                1.0 + number * 0.1,
            )
        }
        for (number in 20..45) {
            submit(
                SimulatedCluster.job(
                    number,
                    if (number % 4 == 0) Shape.GANG else Shape.ARRAY,
                    tasks = 1 + number % 5,
                    runS = 15.0 + number % 20,
                    oneZone = number % 8 == 0,
                    priority = Priority.entries[
                        number %
                            3,
                    ],
                ),
                5.0 + (number - 20) * 8.0,
                if (number % 9 == 0) 10.0 else null,
            )
        }
    }

    /** Makes machines boot late or never for 80 s. */
    private fun injectLateBoots() {
        val startS = drawTimeS(5.0)
        val failureShare = random.nextDouble() * 0.4
        val bootFactor = 2.0 + random.nextDouble() * 6.0
        recordFault("boots take %.1f times as long, a share of %.2f fails".format(bootFactor, failureShare), startS)
        cluster.clock.after(startS) {
            cluster.cloud.bootFailureShare = failureShare
            cluster.cloud.bootFactor = bootFactor
        }
        cluster.clock.after(startS + 80.0) {
            cluster.cloud.bootFailureShare = 0.0
            cluster.cloud.bootFactor = 1.0
        }
    }

    /**
     * Crashes, freezes or cuts off the leader, or the leader and one more node; a second call may overlap the first.
     */
    private fun silenceControllers() {
        val startS = drawTimeS()
        val durationS = 20.0 + random.nextDouble() * 60.0
        val silenceKind = random.nextInt(5)
        val count = 1 + random.nextInt(2)
        recordFault("$count controllers silent for %.0f s, kind $silenceKind".format(durationS), startS)
        cluster.clock.after(startS) {
            val chosen = (cluster.nodes.filter { it.isLeader } + cluster.nodes).distinct().take(count)
            for (node in chosen) {
                when (silenceKind) {
                    0 -> if (node.isUp) node.crash(durationS)
                    1 -> node.freeze(durationS)
                    else -> {
                        val links = listOf("state", "workers", "state workers peers")[silenceKind - 2].split(' ').map {
                            "${node.name}-$it"
                        }
                        cluster.faults.cuts.addAll(links)
                        cluster.clock.after(durationS) { cluster.faults.cuts.removeAll(links.toSet()) }
                    }
                }
            }
        }
    }

    /** Makes users poll eight times as often for 60 s. */
    private fun raisePollRate() {
        val startS = drawTimeS()
        recordFault("polls are eight times as frequent", startS)
        cluster.clock.after(startS) { cluster.faults.pollFactor = 8.0 }
        cluster.clock.after(startS + 60.0) { cluster.faults.pollFactor = 1.0 }
    }

    /** Submits many small low-priority jobs and some of a class without an objective. */
    private fun submitBestEffortJobs() {
        val startS = drawTimeS()
        val sweep = SimulatedCluster.job(
            300,
            tasks = 1_000 + random.nextInt(3_000),
            runS = 1.5,
        ).copy(jobClass = "sweep", need = SMALL_TASK, priority = Priority.LOW, spot = true)
        recordFault("best-effort jobs, tasks in the sweep: ${sweep.tasks}", startS)
        submit(sweep, startS)
        for (number in 400..480) {
            submit(
                SimulatedCluster.job(
                    number,
                    tasks = 1,
                    runS = 10.0,
                ).copy(jobClass = "probes", need = SMALL_TASK, priority = Priority.LOW),
                drawTimeS(
                    startS,
                    startS + 4.0,
                ),
            )
        }
        for (number in 500..503) {
            submit(
                SimulatedCluster.job(
                    number,
                    tasks = 30,
                    runS = 60.0,
                ).copy(jobClass = SPARE_CLASS, priority = Priority.LOW, spot = true),
                startS,
            )
        }
    }

    /** Makes some machines fail every task for 90 s, while jobs that fail on every machine are submitted. */
    private fun injectFailingTasks() {
        val startS = drawTimeS()
        val faultyMachineCount = random.nextInt(4)
        recordFault("$faultyMachineCount machines fail every task, some jobs fail on every machine", startS)
        for (number in 600..605) {
            val spec = SimulatedCluster.job(
                number,
                if (number % 2 == 0) Shape.GANG else Shape.ARRAY,
                tasks = 1 + number % 6,
                runS = 20.0,
                priority = Priority.HIGH,
            )
            cluster.faults.faultyJobs.add(spec.id)
            submit(spec, drawTimeS(startS - 20.0, startS + 60.0), cancelAfterS = 50.0)
        }
        cluster.clock.after(startS) {
            cluster.cloud.workers.take(faultyMachineCount).forEach { it.failsEveryTask = true }
        }
        cluster.clock.after(startS + 90.0) { cluster.cloud.workers.forEach { it.failsEveryTask = false } }
    }

    /** Takes the store down for 10 s. */
    private fun injectStoreOutage() {
        val startS = drawTimeS()
        recordFault("outage of the store", startS)
        cluster.clock.after(startS) { cluster.state.outage = true }
        cluster.clock.after(startS + 10.0) { cluster.state.outage = false }
    }

    private fun recordFault(description: String, startS: Double) {
        faults.add("$description at %.0f s".format(startS))
    }

    private companion object {
        const val MAX_MACHINES = 60
        const val EARLIEST_S = 30.0
        const val LATEST_S = 190.0

        /** The job class without an objective: its jobs need not be done at the end. */
        const val SPARE_CLASS = "spare"
        val SMALL_TASK = Resources(250, 0, 500)
    }
}
