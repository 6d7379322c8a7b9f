package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import plankwall.fixtures.FaultCombinationFixture
import plankwall.model.Shape
import plankwall.simulation.LinkCut
import plankwall.simulation.SimulatedCluster

/** Machines that are out of reach, hang or fail, combined with cancellations and failovers. */
class MachineFaultCombinationsTest : FaultCombinationFixture() {
    @ParameterizedTest(name = "{0} nodes, {1} of the machines receive nothing, the leader ends: {2}")
    @CsvSource("3, 1.0, true", "5, 1.0, true", "7, 1.0, true", "5, 0.7, true", "7, 0.7, false", "3, 0.7, false")
    fun `machines that receive nothing cause no failover`(nodes: Int, share: Double, leaderEnds: Boolean) {
        startJobs(nodes)
        val before = cluster.elections
        val ids = cluster.cloud.workers.map { it.id }
        cluster.faults.inboundBlocked.addAll(ids.take((ids.size * share).toInt()))
        if (leaderEnds) after(1.0) { leader.crash(5.0) }
        runFor(100.0)
        assertFaultsOccurred("answers lost", "commands lost")
        assertTrue(cluster.tasksKilledByLease >= 60 * share - 10, "${cluster.tasksKilledByLease} tasks killed")
        assertEquals(if (leaderEnds) 1 else 0, cluster.elections - before, "leaders since")
        assertNoViolations()
    }

    @ParameterizedTest(name = "{0} of the machines send nothing, the leader ends: {1}")
    @CsvSource("0.3, false", "0.3, true", "1.0, true", "1.0, false")
    fun `machines whose heartbeats are lost - tasks start elsewhere, cancelled ones are stopped, no failover`(
        share: Double,
        leaderEnds: Boolean,
    ) {
        startJobs()
        val before = cluster.elections
        val ids = cluster.cloud.workers.map { it.id }
        cluster.faults.outboundBlocked.addAll(ids.take((ids.size * share).toInt()))
        if (leaderEnds) after(1.0) { leader.crash(5.0) }
        after(6.0) { cancel(1) }
        after(40.0) { cluster.faults.outboundBlocked.clear() }
        runFor(110.0)
        assertFaultsOccurred("reports lost")
        assertTrue(cluster.tasksKilledByLease > 0)
        assertEquals(if (leaderEnds) 1 else 0, cluster.elections - before, "leaders since")
        assertNoViolations()
    }

    @ParameterizedTest(name = "machines {0}, {1}")
    @CsvSource(
        "cut off, the leader ends",
        "hang, the leader ends",
        "hang, the lead stays",
        "cut off, the lead stays",
        "deaf, the leader ends",
        "mute, the leader ends",
    )
    fun `a team at its limit while cancelled tasks can't be reached`(how: String, lead: String) {
        cluster = SimulatedCluster(7, nodeCount = 3)
        cluster.clock.after(2.0) {
            (1..6).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 4, runS = 900.0, team = "red")) }
        }
        runFor(60.0)
        val limit = cluster.checker.mostUsed.getValue("red")
        assertEquals(16_000L, limit.gpus, "the limit was reached")
        val machines = cluster.cloud.workers
        when (how) {
            "cut off" -> {
                cluster.faults.cutZones.addAll(listOf("a", "b"))
                after(25.0) { cluster.faults.cutZones.clear() }
            }
            "hang" -> machines.forEach { it.hang(leaseS * 0.9) }
            "deaf" -> {
                cluster.faults.inboundBlocked.addAll(machines.map { it.id })
                after(40.0) { cluster.faults.inboundBlocked.clear() }
            }
            else -> {
                cluster.faults.outboundBlocked.addAll(machines.map { it.id })
                after(40.0) { cluster.faults.outboundBlocked.clear() }
            }
        }
        after(0.5) { (1..2).forEach { cancel(it) } }
        if (lead == "the leader ends") after(1.0) { leader.crash(5.0) }
        runFor(120.0)
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        assertEquals(16_000L, cluster.checker.mostUsed.getValue("red").gpus)
        assertEquals(4, (3..6).count { cluster.stageOf(jobId(it)) == "running" }, "not held below its limit for long")
    }

    @ParameterizedTest(name = "hung for {0} leases")
    @ValueSource(doubles = [0.4, 0.8, 0.97, 1.1])
    fun `a hung machine with commands in its queue goes on`(leases: Double) {
        startJobs()
        val hung = cluster.cloud.workers.take(8)
        hung.forEach { it.hang(leaseS * leases) }
        // Stops go out directly and wait in its queue; new work is placed meanwhile.
        after(0.5) { (1..3).forEach { cancel(it) } }
        after(1.0) { (7..8).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 10, runS = 900.0)) } }
        runFor(90.0)
        assertFaultsOccurred("commands to the hung")
        assertNoViolations(1..8)
    }

    @Test
    fun `a zone with workers and a controller is cut off for longer than a lease`() {
        startJobs(nodes = 5)
        val inside = cluster.nodes.first { !it.isLeader }
        cluster.nodes.filter { it !== inside }.forEach {
            cluster.network.cutBoth("zone:a", it.name, LinkCut.HOLD)
            cluster.network.cutBoth(inside.name, it.name, LinkCut.HOLD)
        }
        cluster.network.cutBoth(inside.name, "state", LinkCut.HOLD)
        after(5.0) { (1..2).forEach { cancel(it) } }
        after(leaseS * 2) { cluster.network.healAll() }
        runFor(110.0)
        assertTrue(cluster.tasksKilledByLease > 0, "the zone's leases ran out")
        assertNoViolations()
    }

    @Test
    fun `jobs bound to one zone, arrays too, lose machines`() {
        cluster = SimulatedCluster(7, nodeCount = 3)
        after(2.0) {
            (1..4).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 8, runS = 60.0, oneZone = true)) }
            (5..6).forEach {
                cluster.submit(SimulatedCluster.job(it, Shape.GANG, tasks = 8, runS = 60.0, oneZone = true))
            }
        }
        runFor(45.0)
        val before = cluster.checker.starts
        cluster.cloud.workers.filterIndexed { i, _ -> i % 3 == 0 }.forEach { cluster.cloud.fail(it.id) }
        after(2.0) { leader.crash(3.0) }
        runFor(260.0)
        assertTrue(cluster.checker.starts > before, "lost tasks were started again")
        assertNoViolations(1..6, "done")
    }
}
