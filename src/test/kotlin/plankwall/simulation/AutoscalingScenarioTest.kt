package plankwall.simulation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.model.Shape
import plankwall.model.Tuning

/**
 * Tests of the autoscaler in a simulated cluster. UC1 to UC8 are the use cases of the paper that the autoscaler
 * follows; see [plankwall.core.autoscaling.Autoscaler].
 */
class AutoscalingScenarioTest {
    private val tuning = Tuning(unregisteredS = 30.0, shortGroupS = 30.0, unreadyS = 60.0)

    private fun cluster(seed: Long = 5) = SimulatedCluster(seed, tuning = tuning)

    @ParameterizedTest(name = "{0} waiting tasks of {1} accelerators each lead to {2} machines")
    @CsvSource("4, 1, 1", "5, 1, 2", "4, 4, 4", "8, 2, 4", "1, 0, 1")
    fun `UC1 and UC2 the autoscaler requests machines for waiting tasks once`(tasks: Int, gpus: Long, machines: Int) {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, tasks = tasks, gpus = gpus, runS = 60.0)) }
        cluster.clock.runUntil(40.0)
        assertEquals(machines, cluster.cloud.instancesCreated)
    }

    @Test
    fun `UC3 and UC5 a machine that never registers is deleted and replaced`() {
        val cluster = cluster()
        cluster.cloud.bootFailureShare = 1.0
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, tasks = 1)) }
        cluster.clock.after(20.0) { cluster.cloud.bootFailureShare = 0.0 }
        cluster.clock.runUntil(25.0)
        val unregisteredIds = cluster.cloud.instances.map { it.id }
        cluster.clock.runUntil(110.0)
        assertTrue(cluster.cloud.instances.none { it.id in unregisteredIds }, "not deleted: $unregisteredIds")
        assertEquals("done", cluster.stageOf("job-000001"))
    }

    @Test
    fun `UC4 a job is done after the cloud has capacity again`() {
        val cluster = cluster()
        cluster.cloud.capacity = 0
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, tasks = 1)) }
        cluster.clock.after(60.0) { cluster.cloud.capacity = 10 }
        cluster.clock.runUntil(160.0)
        assertEquals("done", cluster.stageOf("job-000001"))
    }

    @Test
    fun `unneeded machines are deleted and machines with tasks are kept`() {
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
    fun `UC8 no machine is requested or deleted while all workers are silent`() {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 16)) }
        cluster.clock.runUntil(40.0)
        val instancesBefore = cluster.cloud.instancesCreated to cluster.cloud.instances.map { it.id }
        assertEquals(4, cluster.cloud.instances.size)
        cluster.nodes.forEach { cluster.faults.cuts.add("${it.name}-workers") }
        cluster.clock.runUntil(70.0)
        assertEquals(instancesBefore, cluster.cloud.instancesCreated to cluster.cloud.instances.map { it.id })
        cluster.faults.cuts.clear()
        cluster.clock.runUntil(160.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `a scale-out request that is unanswered when the leader crashes creates no second machine`() {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, tasks = 4, runS = 30.0)) }
        // When the leader crashes, the request has been stored and sent, and its answer is lost.
        cluster.clock.runUntil(2.0)
        while (cluster.cloud.instancesCreated == 0) cluster.clock.runUntil(cluster.clock.now + 0.05)
        cluster.nodes.first { it.isLeader }.crash(5.0)
        cluster.clock.runUntil(60.0)
        assertEquals(1, cluster.cloud.instancesCreated)
    }

    @Test
    fun `a machine that dies soon after a failover is deleted before its lease would expire`() {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 24)) }
        cluster.clock.runUntil(45.0)
        cluster.nodes.first { it.isLeader }.crash(8.0)
        cluster.clock.runUntil(53.0)
        // The cloud's list shows the dead machine as running for a while.
        val deadId = cluster.cloud.workers.first().also { it.die() }.id
        cluster.clock.runUntil(66.0)
        assertTrue(cluster.cloud.instances.none { it.id == deadId }, "the dead machine was not deleted")
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `a leader that loses its peers and most machines keeps leading and replaces the machines`() {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 16)) }
        cluster.clock.runUntil(45.0)
        val firstLeader = cluster.nodes.first { it.isLeader }
        cluster.nodes.filter { it !== firstLeader }.forEach { it.crash(200.0) }
        cluster.cloud.workers.take(3).forEach { it.die() }
        cluster.clock.runUntil(90.0)
        assertTrue(firstLeader.isLeader)
        assertEquals(
            16 + 12,
            cluster.checker.starts,
            "lost tasks did not start again once, or the leader lost its proof that the machines are gone",
        )
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @ParameterizedTest(name = "leader is cut off from {0}, keeps leading is {1}")
    @CsvSource("workers, true", "workers peers, false")
    fun `a leader cut off from its workers is relayed to by peers or hands over before leases expire`(
        cutLinks: String,
        staysLeader: Boolean,
    ) {
        val cluster = cluster()
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = 12)) }
        cluster.clock.runUntil(45.0)
        val firstLeader = cluster.nodes.first { it.isLeader }
        cutLinks.split(' ').forEach { cluster.faults.cuts.add("${firstLeader.name}-$it") }
        cluster.clock.runUntil(75.0)
        assertEquals(staysLeader, firstLeader.isLeader)
        assertTrue(cluster.nodes.any { it.isLeader }, "no node leads")
        assertEquals(12, cluster.checker.starts, "replicas were started again")
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}
