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
 * Days on which many machines fall silent together: what is left alone, and what is rented before anything is proven.
 */
class FailureDetectorScenarioTest {
    private val cluster = SimulatedCluster(5)

    /** A site at work with [tasks] replicas, four to a machine; returns the leader. */
    private fun atWork(tasks: Int): SimulatedController {
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, Shape.SERVICE, tasks = tasks)) }
        cluster.clock.runUntil(45.0)
        assertEquals(tasks / 4, cluster.cloud.instances.size)
        return cluster.nodes.first { it.isLeader }
    }

    private fun rented(): Set<String> = cluster.cloud.instances.map { it.id }.toSet()

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, cut for the new leader: zone b, or all workers at every node; seconds
        "'a zone that was cut before the take-over', true, 35",
        "'a leader that no worker can reach', false, 35",
    )
    fun `a new leader deletes nothing that is behind a cut`(name: String, zoneOnly: Boolean, forS: Double) {
        val first = atWork(24)
        val before = rented()
        first.crash(200.0)
        if (zoneOnly) {
            cluster.faults.cutZones.add("b")
        } else {
            cluster.nodes.forEach {
                cluster.faults.cuts.add("${it.name}-workers")
            }
        }
        cluster.clock.runUntil(45.0 + forS)
        assertTrue(rented().containsAll(before), "$name: gone are ${before - rented()}")
        cluster.faults.cutZones.clear()
        cluster.faults.cuts.clear()
        cluster.clock.runUntil(200.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, the leader goes too, machines that die, seconds until others must be rented
        // Leases of 15 s are surely over after 16 s, or that long after the word of all peers.
        "'half of the fleet dies: halted, but not for a live service', false, 3, 13",
        "'a few die', false, 1, 13",
        "'half of the fleet and the leader', true, 3, 18",
    )
    fun `replicas believed lost are rented for before they are proven gone`(
        name: String,
        leaderToo: Boolean,
        die: Int,
        withinS: Double,
    ) {
        val first = atWork(24)
        if (leaderToo) first.crash(8.0)
        // Some of each zone: one that is silent as a whole would count as cut off.
        cluster.cloud.workers.groupBy { it.group.zone }.values.flatMap { it.take(2) }.take(die).forEach { it.die() }
        cluster.clock.runUntil(45.0 + withinS)
        assertEquals(6 + die, cluster.cloud.instancesCreated, name)
        cluster.clock.runUntil(160.0)
        assertEquals("running", cluster.stageOf("job-000001"))
        assertEquals(24 + 4 * die, cluster.checker.starts, "$name: each lost replica started once more")
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `what waits is rented for as soon as the first workers are back, whoever else is still on the way`() {
        val first = atWork(24)
        first.crash(8.0)
        cluster.cloud.workers.first().die()
        cluster.clock.after(0.5) { cluster.submit(SimulatedCluster.job(2, tasks = 4)) }
        while (cluster.nodes.none { it.isLeader && it !== first }) cluster.clock.runUntil(cluster.clock.now + 0.1)
        cluster.clock.runUntil(cluster.clock.now + 7.0)
        assertEquals(7, cluster.cloud.instancesCreated)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, shape of the work on the machine, whether it is deleted before its lease would prove anything
        "'every second counts for a replica', SERVICE, true",
        "'an array waits for the lease, and the machine may come back', ARRAY, false",
    )
    fun `a machine silent alone is deleted for the sake of replicas only`(
        name: String,
        shape: Shape,
        deleted: Boolean,
    ) {
        cluster.clock.after(2.0) { cluster.submit(SimulatedCluster.job(1, shape, tasks = 24, runS = 500.0)) }
        cluster.clock.runUntil(45.0)
        val silent = cluster.cloud.workers.first().also { it.die() }.id
        cluster.clock.runUntil(45.0 + 13.0)
        assertEquals(deleted, silent !in rented(), name)
        cluster.clock.runUntil(100.0)
        assertEquals(28, cluster.checker.starts, name)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}
