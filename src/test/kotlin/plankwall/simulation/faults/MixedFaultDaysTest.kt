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
    fun `nights with all troubles drawn by seed`(nodes: Int, seeds: String) {
        val nights = seeds.split(' ').map { MixedFaultScenario(it.toLong(), nodes).play() }
        assertEquals(emptyList<String>(), nights.flatMap { it.broken })
        assertEquals(emptyList<String>(), nights.flatMap { n -> n.unserved.map { "${n.seed}: $it not done" } })
    }

    /**
     * A sweep and a storm of polls as the leader dies: replicas stay up, the sweep comes to one end, and polls are
     * answered.
     */
    @Test
    fun `a sweep amid a storm of polls survives two leaders`() {
        val world = SimulatedCluster(77)
        world.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 8, priority = Priority.PRODUCTION))
        world.clock.after(20.0) {
            world.submit(
                SimulatedCluster.job(
                    2,
                    tasks = 4_000,
                    runS = 1.5,
                    priority = Priority.LOW,
                ).copy(need = Resources(250, 0, 500)),
            )
            world.pollFactor = 10.0
        }
        world.clock.after(28.0) { world.nodes.first { it.leading }.crash(8.0) }
        world.clock.after(36.0) { world.nodes.firstOrNull { it.leading }?.freeze(60.0) }
        world.clock.runUntil(160.0)
        assertEquals(emptyList<String>(), world.checker.broken)
        assertEquals("done", world.stageOf("job-000002"))
        assertEquals(8 + 4_000, world.checker.starts, "something was started twice")
        assertEquals(0, world.state.writes.beyond, "writes beyond the rate")
        assertEquals(0, world.state.calls.beyond, "calls beyond the rate")
    }

    /**
     * A leader that lost the store answers workers for a stated while and not a second longer, since a successor
     * reckons with that. Neither the days above nor any test saw it when the bound was taken away.
     */
    @Test
    fun `a leader without the store stops answering when its grace is over`() {
        val world = SimulatedCluster(78, nodeCount = 1)
        world.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 4, priority = Priority.PRODUCTION))
        var lastServed = 0.0
        world.onServed = { _, _ -> lastServed = world.clock.now }
        world.clock.after(40.0) { world.cuts.add("n0-state") }
        world.clock.runUntil(200.0)
        val lease = world.settings.workers.leaseS
        assertTrue(lastServed > 40.0 + lease, "workers are kept for the grace at least, until $lastServed s")
        assertTrue(lastServed < 40.0 + lease * (Tuning().outageGraceLeases + 1), "answered until $lastServed s")
    }
}
