package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.model.Shape
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedController

/**
 * Tests of machines that fall silent, many of them together: which machines are not deleted, and which are requested
 * before it is proven that the silent ones are gone.
 */
class FailureDetectorScenarioTest {
    private val cluster = SimulatedCluster(5)

    /** Starts a service of [tasks] replicas, four on each machine, and returns the leader. */
    private fun startReplicas(tasks: Int): SimulatedController {
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = tasks)) }
        cluster.clock.runUntil(45.0)
        assertEquals(tasks / 4, cluster.cloud.instances.size)
        return cluster.nodes.first { it.isLeader }
    }

    private fun existingMachines(): Set<String> = cluster.cloud.instances.map { it.id }.toSet()

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // Name, whether zone b is cut off or else all workers from every node, for how many seconds.
        "'a zone is cut off before the failover', true, 35",
        "'no worker can reach a node', false, 35",
    )
    fun `a new leader deletes no machine that is cut off`(name: String, zoneOnly: Boolean, durationS: Double) {
        val firstLeader = startReplicas(24)
        val machinesBefore = existingMachines()
        firstLeader.crash(200.0)
        if (zoneOnly) {
            cluster.faults.cutZones.add("b")
        } else {
            cluster.nodes.forEach {
                cluster.faults.cuts.add("${it.name}-workers")
            }
        }
        cluster.clock.runUntil(45.0 + durationS)
        assertTrue(
            existingMachines().containsAll(machinesBefore),
            "$name, deleted were ${machinesBefore - existingMachines()}",
        )
        cluster.faults.cutZones.clear()
        cluster.faults.cuts.clear()
        cluster.clock.runUntil(200.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // Name, whether the leader crashes too, machines that die, seconds until others must have been requested.
        // Leases of 15 s have certainly expired after 16 s, or 16 s after all peers have reported.
        "'half of the fleet dies, which halts autoscaling except for a running service', false, 3, 13",
        "'one machine dies', false, 1, 13",
        "'half of the fleet dies and the leader crashes', true, 3, 18",
    )
    fun `machines for replicas believed lost are requested before the loss is proven`(
        name: String,
        leaderCrashes: Boolean,
        dyingMachines: Int,
        withinS: Double,
    ) {
        val firstLeader = startReplicas(24)
        if (leaderCrashes) firstLeader.crash(8.0)
        // Machines of each zone die: a zone in which all machines are silent would count as cut off.
        cluster.cloud.workers.groupBy {
            it.group.zone
        }.values.flatMap { it.take(2) }.take(dyingMachines).forEach { it.die() }
        cluster.clock.runUntil(45.0 + withinS)
        assertEquals(6 + dyingMachines, cluster.cloud.instancesCreated, name)
        cluster.clock.runUntil(160.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        assertEquals(24 + 4 * dyingMachines, cluster.checker.starts, "$name, each lost replica starts once more")
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `a new leader requests machines for waiting tasks once the first workers report`() {
        val firstLeader = startReplicas(24)
        firstLeader.crash(8.0)
        cluster.cloud.workers.first().die()
        cluster.clock.after(0.5) { cluster.submit(SimulatedCluster.job(2, tasks = 4)) }
        while (cluster.nodes.none { it.isLeader && it !== firstLeader }) cluster.clock.runUntil(cluster.clock.now + 0.1)
        cluster.clock.runUntil(cluster.clock.now + 7.0)
        assertEquals(7, cluster.cloud.instancesCreated)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // Name, shape of the job on the machine, whether the machine is deleted before its lease has expired.
        "'replicas of a service are replaced at once', SERVICE, true",
        "'an array waits for the lease since the machine may come back', ARRAY, false",
    )
    fun `a single silent machine is deleted before its lease expires only if it runs replicas`(
        name: String,
        shape: Shape,
        deleted: Boolean,
    ) {
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, shape, tasks = 24, runS = 500.0)) }
        cluster.clock.runUntil(45.0)
        val silentId = cluster.cloud.workers.first().also { it.die() }.id
        cluster.clock.runUntil(45.0 + 13.0)
        assertEquals(deleted, silentId !in existingMachines(), name)
        cluster.clock.runUntil(100.0)
        assertEquals(28, cluster.checker.starts, name)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}
