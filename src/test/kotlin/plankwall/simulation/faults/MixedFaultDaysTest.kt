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

/** All that the operators met, together and by chance; more of the same outside CI with `lab nights`. */
class MixedFaultDaysTest {
    @ParameterizedTest(name = "{0} nodes")
    @CsvSource("3, 1 2 3 4", "5, 5 6 7 8", "7, 9 10 11 12")
    fun `mixed faults drawn by seed`(nodes: Int, seeds: String) {
        val nights = seeds.split(' ').map { MixedFaultScenario(it.toLong(), nodes).play() }
        assertEquals(emptyList<String>(), nights.flatMap { it.violations })
        assertEquals(emptyList<String>(), nights.flatMap { n -> n.unfinishedJobs.map { "${n.seed}: $it not done" } })
    }

    /**
     * A sweep and a storm of polls as the leader dies: replicas stay up, the sweep comes to one end, and polls are
     * answered.
     */
    @Test
    fun `a sweep amid a storm of polls survives two leaders`() {
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
        assertEquals(8 + 4_000, cluster.checker.starts, "something was started twice")
        assertEquals(0, cluster.state.writeMeter.exceededCount, "writes beyond the rate")
        assertEquals(0, cluster.state.requestMeter.exceededCount, "calls beyond the rate")
    }

    /**
     * A leader that lost the store answers workers for a stated while and not a second longer, since a successor
     * reckons with that. Neither the days above nor any test saw it when the bound was taken away.
     */
    @Test
    fun `a leader without the store stops answering when its grace is over`() {
        val cluster = SimulatedCluster(78, nodeCount = 1)
        cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 4, priority = Priority.PRODUCTION))
        var lastServed = 0.0
        cluster.onHeartbeatServed = { _, _ -> lastServed = cluster.clock.now }
        cluster.clock.after(40.0) { cluster.faults.cuts.add("n0-state") }
        cluster.clock.runUntil(200.0)
        val lease = cluster.settings.workers.leaseS
        assertTrue(lastServed > 40.0 + lease, "workers are kept for the grace at least, until $lastServed s")
        assertTrue(lastServed < 40.0 + lease * (Tuning().outageGraceLeases + 1), "answered until $lastServed s")
    }
}
