package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.model.Priority
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster

/** Tests of whole days in virtual time, each with its faults and a seed: no rule is violated, and all jobs are done. */
class FaultScenarioTest {
    private class ScheduledFault(val atS: Double, val inject: SimulatedCluster.() -> Unit)

    private val days: Map<String, List<ScheduledFault>> = mapOf(
        "quiet" to emptyList(),
        "one crash" to listOf(ScheduledFault(60.0) { nodes.first { it.isLeader }.crash(8.0) }),
        "all crash" to listOf(ScheduledFault(60.0) { nodes.forEach { it.crash(8.0) } }),
        "rolling" to (0..2).map { n -> ScheduledFault(50.0 + 20 * n) { nodes[n].crash(6.0) } },
        "outage" to listOf(ScheduledFault(50.0) { state.outage = true }, ScheduledFault(65.0) { state.outage = false }),
        "long outage" to
            listOf(ScheduledFault(50.0) { state.outage = true }, ScheduledFault(130.0) { state.outage = false }),
        "leader cut from state" to listOf(
            ScheduledFault(50.0) { nodes.first { it.isLeader }.let { faults.cuts.add("${it.name}-state") } },
            ScheduledFault(110.0) { faults.cuts.clear() },
        ),
        "leader cut from workers" to listOf(
            ScheduledFault(50.0) { nodes.first { it.isLeader }.let { faults.cuts.add("${it.name}-workers") } },
            ScheduledFault(110.0) { faults.cuts.clear() },
        ),
        "leader cut from state and peers" to listOf(
            ScheduledFault(50.0) {
                nodes.first { it.isLeader }.let { faults.cuts.addAll(listOf("${it.name}-state", "${it.name}-peers")) }
            },
            ScheduledFault(120.0) { faults.cuts.clear() },
        ),
        "machines fail" to
            listOf(ScheduledFault(60.0) { cloud.instances.take(2).map { it.id }.forEach { cloud.fail(it) } }),
        "late writes" to
            listOf(ScheduledFault(30.0) { faults.lateWrites = 0.1 }, ScheduledFault(150.0) { faults.lateWrites = 0.0 }),
        "lost answers" to
            listOf(ScheduledFault(20.0) { faults.answerLoss = 0.1 }, ScheduledFault(150.0) { faults.answerLoss = 0.0 }),
        "everything" to listOf(
            ScheduledFault(25.0) { faults.answerLoss = 0.05 },
            ScheduledFault(30.0) { faults.lateWrites = 0.05 },
            ScheduledFault(55.0) { nodes.first { it.isUp }.crash(8.0) },
            ScheduledFault(75.0) { cloud.instances.take(1).map { it.id }.forEach { cloud.fail(it) } },
            ScheduledFault(90.0) { nodes.forEach { it.crash(10.0) } },
            ScheduledFault(105.0) { state.outage = true },
            ScheduledFault(120.0) { state.outage = false },
            ScheduledFault(160.0) { faults.lateWrites = 0.0 },
            ScheduledFault(160.0) { faults.answerLoss = 0.0 },
        ),
        "machines never come" to listOf(ScheduledFault(0.1) { cloud.bootFailureShare = 0.3 }),
        "cloud outage" to
            listOf(ScheduledFault(25.0) { cloud.outage = true }, ScheduledFault(80.0) { cloud.outage = false }),
    )

    @ParameterizedTest(name = "{0}, seed {1}")
    @CsvSource(
        "quiet,1", "one crash,2", "all crash,3", "rolling,4", "outage,5", "long outage,6", "leader cut from state,7",
        "leader cut from workers,8", "leader cut from state and peers,9", "machines fail,10", "late writes,11",
        "lost answers,12",
        "everything,13", "everything,14", "everything,15", "machines never come,16", "cloud outage,17",
        "late writes,18",
    )
    fun `a day with faults violates no rule and finishes all jobs that end by themselves`(day: String, seed: Long) {
        val cluster = SimulatedCluster(seed)
        days.getValue(day).forEach { fault -> cluster.clock.after(fault.atS) { fault.inject(cluster) } }
        val finishingJobs = ArrayList<String>()
        fun submitAt(timeS: Double, number: Int, spec: plankwall.model.JobSpec, cancelAfterS: Double? = null) {
            cluster.clock.after(timeS) { cluster.submit(spec, cancelAfterS) }
            if (cancelAfterS == null && spec.shape != Shape.SERVICE) finishingJobs.add("job-%06d".format(number))
        }
        submitAt(
            3.0,
            1,
            SimulatedCluster.job(1, Shape.SERVICE, tasks = 2, spread = true, priority = Priority.PRODUCTION),
        )
        submitAt(4.0, 2, SimulatedCluster.job(2, tasks = 6, runS = 30.0))
        submitAt(
            5.0,
            3,
            SimulatedCluster.job(3, Shape.GANG, tasks = 3, oneZone = true, runS = 25.0, priority = Priority.HIGH),
        )
        submitAt(6.0, 4, SimulatedCluster.job(4, tasks = 40, team = "red", runS = 8.0))
        submitAt(
            7.0,
            5,
            SimulatedCluster.job(5, Shape.SERVICE, tasks = 3, team = "red", spot = true),
            cancelAfterS = 52.0,
        )
        submitAt(48.0, 6, SimulatedCluster.job(6, tasks = 5, spot = true, priority = Priority.LOW), cancelAfterS = 13.0)
        for (n in 10..25) {
            submitAt(
                20.0 + 5 * (n - 10),
                n,
                SimulatedCluster.job(
                    n,
                    tasks = 3,
                    priority = Priority.entries[n % 4],
                    spot = n % 2 == 0,
                ),
            )
        }
        cluster.clock.runUntil(420.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertTrue(cluster.checker.starts >= 100, "only ${cluster.checker.starts} starts")
        val unfinishedStages = finishingJobs.associateWith { cluster.stageOf(it) }.filterValues { it != "done" }
        assertEquals(emptyMap<String, String?>(), unfinishedStages)
        assertEquals("withdrawn", cluster.stageOf("job-000005"))
    }
}
