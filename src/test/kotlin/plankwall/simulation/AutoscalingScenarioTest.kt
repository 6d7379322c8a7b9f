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

    private fun cluster(seed: Long = 5) = SimulatedCluster(seed, tuning = tuning)

    @ParameterizedTest(name = "{0} tasks of {1} accelerators rent {2} machines")
    @CsvSource("4, 1, 1", "5, 1, 2", "4, 4, 4", "8, 2, 4", "1, 0, 1")
    fun `UC1 and UC2 rents by what waits, once`(tasks: Int, gpus: Long, machines: Int) {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, tasks = tasks, gpus = gpus, runS = 60.0)) }
        cluster.clock.runUntil(40.0)
        assertEquals(machines, cluster.cloud.instancesCreated)
    }

    @Test
    fun `UC3 and UC5 a machine that never registers is returned and replaced`() {
        val cluster = cluster()
        cluster.cloud.bootFailureShare = 1.0
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, tasks = 1)) }
        cluster.clock.after(20.0) { cluster.cloud.bootFailureShare = 0.0 }
        cluster.clock.runUntil(25.0)
        val stuck = cluster.cloud.instances.map { it.id }
        cluster.clock.runUntil(110.0)
        assertTrue(cluster.cloud.instances.none { it.id in stuck }, "still rented: $stuck")
        assertEquals("done", cluster.stageOf("job-000001"))
    }

    @Test
    fun `UC4 no capacity is not the end`() {
        val cluster = cluster()
        cluster.cloud.capacity = 0
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, tasks = 1)) }
        cluster.clock.after(60.0) { cluster.cloud.capacity = 10 }
        cluster.clock.runUntil(160.0)
        assertEquals("done", cluster.stageOf("job-000001"))
    }

    @Test
    fun `unneeded machines go back, needed ones stay`() {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, tasks = 8, runS = 10.0)) }
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(2, Shape.SERVICE, tasks = 1)) }
        cluster.clock.runUntil(30.0)
        assertEquals(3, cluster.cloud.instancesCreated)
        cluster.clock.runUntil(120.0)
        assertEquals(1, cluster.cloud.instances.size)
        assertEquals("running", cluster.stageOf("job-000002"))
    }

    @Test
    fun `UC8 when all workers fall silent nothing is rented or returned`() {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 16)) }
        cluster.clock.runUntil(40.0)
        val before = cluster.cloud.instancesCreated to cluster.cloud.instances.map { it.id }
        assertEquals(4, cluster.cloud.instances.size)
        cluster.nodes.forEach { cluster.faults.cuts.add("${it.name}-workers") }
        cluster.clock.runUntil(70.0)
        assertEquals(before, cluster.cloud.instancesCreated to cluster.cloud.instances.map { it.id })
        cluster.faults.cuts.clear()
        cluster.clock.runUntil(160.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `a rental that a crashed leader left unanswered is not made twice`() {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, tasks = 4, runS = 30.0)) }
        // The request is under way when its leader dies: stored, sent, its answer lost.
        cluster.clock.runUntil(2.0)
        while (cluster.cloud.instancesCreated == 0) cluster.clock.runUntil(cluster.clock.now + 0.05)
        cluster.nodes.first { it.isLeader }.crash(5.0)
        cluster.clock.runUntil(60.0)
        assertEquals(1, cluster.cloud.instancesCreated)
    }

    @Test
    fun `a machine that dies soon after a take-over is replaced before its lease would be over`() {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 24)) }
        cluster.clock.runUntil(45.0)
        cluster.nodes.first { it.isLeader }.crash(8.0)
        cluster.clock.runUntil(53.0)
        // The list goes on showing it as running for a while.
        val dead = cluster.cloud.workers.first().also { it.die() }.id
        cluster.clock.runUntil(66.0)
        assertTrue(cluster.cloud.instances.none { it.id == dead }, "the dead machine is still kept")
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `a leader left alone with a few machines goes on, and replaces the others`() {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 16)) }
        cluster.clock.runUntil(45.0)
        val first = cluster.nodes.first { it.isLeader }
        cluster.nodes.filter { it !== first }.forEach { it.crash(200.0) }
        cluster.cloud.workers.take(3).forEach { it.die() }
        cluster.clock.runUntil(90.0)
        assertTrue(first.isLeader)
        assertEquals(16 + 12, cluster.checker.starts, "not replaced, or the leader gave up its proof of what is gone")
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource("workers, true", "workers peers, false")
    fun `a leader cut off from its workers serves them through its peers or hands over, before their leases run out`(
        cut: String,
        stays: Boolean,
    ) {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 12)) }
        cluster.clock.runUntil(45.0)
        val first = cluster.nodes.first { it.isLeader }
        cut.split(' ').forEach { cluster.faults.cuts.add("${first.name}-$it") }
        cluster.clock.runUntil(75.0)
        assertEquals(stays, first.isLeader)
        assertTrue(cluster.nodes.any { it.isLeader }, "nobody leads")
        assertEquals(12, cluster.checker.starts, "replicas were started anew")
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}
