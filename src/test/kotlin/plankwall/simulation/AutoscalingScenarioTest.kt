package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.model.Shape
import plankwall.model.Tuning

/** The rental loop against the paper's use cases, played on the simulated site. */
class AutoscalingScenarioTest {
    private val tuning = Tuning(unregisteredS = 30.0, shortGroupS = 30.0, unreadyS = 60.0)

    private fun world(seed: Long = 5) = SimulatedCluster(seed, tuning = tuning)

    @ParameterizedTest(name = "{0} tasks of {1} accelerators rent {2} machines")
    @CsvSource("4, 1, 1", "5, 1, 2", "4, 4, 4", "8, 2, 4", "1, 0, 1")
    fun `UC1 and UC2 rents by what waits, once`(tasks: Int, gpus: Long, machines: Int) {
        val world = world()
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(1, tasks = tasks, gpus = gpus, runS = 60.0)) }
        world.clock.runUntil(40.0)
        assertEquals(machines, world.cloud.rentals)
    }

    @Test
    fun `UC3 and UC5 a machine that never registers is returned and replaced`() {
        val world = world()
        world.cloud.bootFails = 1.0
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(1, tasks = 1)) }
        world.clock.after(20.0) { world.cloud.bootFails = 0.0 }
        world.clock.runUntil(25.0)
        val stuck = world.cloud.alive.map { it.id }
        world.clock.runUntil(110.0)
        assertTrue(world.cloud.alive.none { it.id in stuck }, "still rented: $stuck")
        assertEquals("done", world.stageOf("job-000001"))
    }

    @Test
    fun `UC4 no capacity is not the end`() {
        val world = world()
        world.cloud.capacity = 0
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(1, tasks = 1)) }
        world.clock.after(60.0) { world.cloud.capacity = 10 }
        world.clock.runUntil(160.0)
        assertEquals("done", world.stageOf("job-000001"))
    }

    @Test
    fun `unneeded machines go back, needed ones stay`() {
        val world = world()
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(1, tasks = 8, runS = 10.0)) }
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(2, Shape.SERVICE, tasks = 1)) }
        world.clock.runUntil(30.0)
        assertEquals(3, world.cloud.rentals)
        world.clock.runUntil(120.0)
        assertEquals(1, world.cloud.alive.size)
        assertEquals("running", world.stageOf("job-000002"))
    }

    @Test
    fun `UC8 when all workers fall silent nothing is rented or returned`() {
        val world = world()
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 16)) }
        world.clock.runUntil(40.0)
        val before = world.cloud.rentals to world.cloud.alive.map { it.id }
        assertEquals(4, world.cloud.alive.size)
        world.nodes.forEach { world.cuts.add("${it.name}-workers") }
        world.clock.runUntil(70.0)
        assertEquals(before, world.cloud.rentals to world.cloud.alive.map { it.id })
        world.cuts.clear()
        world.clock.runUntil(160.0)
        assertEquals("running", world.stageOf("job-000001"))
        assertEquals(emptyList<String>(), world.checker.broken)
    }

    @Test
    fun `a rental that a crashed leader left unanswered is not made twice`() {
        val world = world()
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(1, tasks = 4, runS = 30.0)) }
        // The request is under way when its leader dies: stored, sent, its answer lost.
        world.clock.runUntil(2.0)
        while (world.cloud.rentals == 0) world.clock.runUntil(world.clock.now + 0.05)
        world.nodes.first { it.leading }.crash(5.0)
        world.clock.runUntil(60.0)
        assertEquals(1, world.cloud.rentals)
    }

    @Test
    fun `a machine that dies soon after a take-over is replaced before its lease would be over`() {
        val world = world()
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 24)) }
        world.clock.runUntil(45.0)
        world.nodes.first { it.leading }.crash(8.0)
        world.clock.runUntil(53.0)
        // The list goes on showing it as running for a while.
        val dead = world.cloud.workers.first().also { it.die() }.id
        world.clock.runUntil(66.0)
        assertTrue(world.cloud.alive.none { it.id == dead }, "the dead machine is still kept")
        assertEquals(emptyList<String>(), world.checker.broken)
    }

    @Test
    fun `a leader left alone with a few machines goes on, and replaces the others`() {
        val world = world()
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 16)) }
        world.clock.runUntil(45.0)
        val first = world.nodes.first { it.leading }
        world.nodes.filter { it !== first }.forEach { it.crash(200.0) }
        world.cloud.workers.take(3).forEach { it.die() }
        world.clock.runUntil(90.0)
        assertTrue(first.leading)
        assertEquals(16 + 12, world.checker.starts, "not replaced, or the leader gave up its proof of what is gone")
        assertEquals(emptyList<String>(), world.checker.broken)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource("workers, true", "workers peers, false")
    fun `a leader cut off from its workers serves them through its peers or hands over, before their leases run out`(
        cut: String,
        stays: Boolean,
    ) {
        val world = world()
        world.clock.after(2.0) { world.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 12)) }
        world.clock.runUntil(45.0)
        val first = world.nodes.first { it.leading }
        cut.split(' ').forEach { world.cuts.add("${first.name}-$it") }
        world.clock.runUntil(75.0)
        assertEquals(stays, first.leading)
        assertTrue(world.nodes.any { it.leading }, "nobody leads")
        assertEquals(12, world.checker.starts, "replicas were started anew")
        assertEquals(emptyList<String>(), world.checker.broken)
    }
}
