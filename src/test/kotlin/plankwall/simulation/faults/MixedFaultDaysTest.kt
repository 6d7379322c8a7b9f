package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.model.Priority
import plankwall.model.Resources
import plankwall.model.Shape
import plankwall.model.Tuning
import plankwall.simulation.MixedFaultScenario
import plankwall.simulation.SimulatedCluster

/**
 * Tests of all faults that occurred in operation, mixed at random by seed, and of two cases under load and without the
 * state service. The command `lab nights` runs more such days outside CI.
 */
class MixedFaultDaysTest {
    @ParameterizedTest(name = "{0} nodes, seeds {1}")
    @CsvSource("3, 1 2 3 4", "5, 5 6 7 8", "7, 9 10 11 12")
    fun `random days of mixed faults violate no rule and all jobs are done`(nodes: Int, seeds: String) {
        val days = seeds.split(' ').map { MixedFaultScenario(it.toLong(), nodes).play() }
        assertEquals(emptyList<String>(), days.flatMap { it.violations })
        assertEquals(
            emptyList<String>(),
            days.flatMap { day ->
                day.unfinishedJobs.map { "${day.seed}: $it not done" }
            },
        )
    }

    /**
     * Submits an array of 4000 short tasks while users poll ten times as often. Then the leader crashes and the next
     * one freezes. Replicas must keep running, no task may start twice, and polls must be answered.
     */
    @Test
    fun `an array of many tasks runs once under many polls although two leaders fail`() {
        val cluster = SimulatedCluster(77)
        cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 8, priority = Priority.PRODUCTION))
        cluster.clock.after(20.0) {
            cluster.submit(
                SimulatedCluster.job(
                    2,
                    tasks = 4_000,
                    runS = 1.5,
                    priority = Priority.LOW,
                ).copy(need = Resources(250, 0, 500)),
            )
            cluster.faults.pollFactor = 10.0
        }
        cluster.clock.after(28.0) { cluster.nodes.first { it.isLeader }.crash(8.0) }
        cluster.clock.after(36.0) { cluster.nodes.firstOrNull { it.isLeader }?.freeze(60.0) }
        cluster.clock.runUntil(160.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertEquals("done", cluster.stageOf("job-000002"))
        assertEquals(8 + 4_000, cluster.checker.starts, "a task was started twice")
        assertEquals(0, cluster.state.writeMeter.exceededCount, "writes beyond the rate")
        assertEquals(0, cluster.state.requestMeter.exceededCount, "calls beyond the rate")
    }

    /**
     * A leader that lost the state service answers workers for a limited time only, since a successor relies on that
     * limit. Neither the random days nor any other test failed when the limit was removed.
     */
    @Test
    fun `a leader without the state service stops answering workers after its grace period`() {
        val cluster = SimulatedCluster(78, nodeCount = 1)
        cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 4, priority = Priority.PRODUCTION))
        var lastServedAt = 0.0
        cluster.onHeartbeatServed = { _, _ -> lastServedAt = cluster.clock.now }
        cluster.clock.after(40.0) { cluster.faults.cuts.add("n0-state") }
        cluster.clock.runUntil(200.0)
        val leaseS = cluster.settings.workers.leaseS
        assertTrue(
            lastServedAt > 40.0 + leaseS,
            "workers were served for less than the grace period, until $lastServedAt s",
        )
        assertTrue(
            lastServedAt < 40.0 + leaseS * (Tuning().outageGraceLeases + 1),
            "workers were still served at $lastServedAt s",
        )
    }
}
