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

/** Tests of machines that are out of reach, hang or fail, combined with cancellations and failovers. */
class MachineFaultCombinationsTest : FaultCombinationFixture() {
    @ParameterizedTest(name = "{0} nodes, share {1} of the machines receives nothing, leader crashes is {2}")
    @CsvSource("3, 1.0, true", "5, 1.0, true", "7, 1.0, true", "5, 0.7, true", "7, 0.7, false", "3, 0.7, false")
    fun `machines that receive nothing cause no failover`(nodes: Int, share: Double, leaderCrashes: Boolean) {
        startJobs(nodes)
        val electionsBefore = cluster.elections
        val machineIds = cluster.cloud.workers.map { it.id }
        cluster.faults.inboundBlocked.addAll(machineIds.take((machineIds.size * share).toInt()))
        if (leaderCrashes) after(1.0) { leader.crash(5.0) }
        runFor(100.0)
        assertFaultsOccurred("answers lost", "commands lost")
        assertTrue(cluster.tasksKilledByLease >= 60 * share - 10, "${cluster.tasksKilledByLease} tasks killed")
        assertEquals(if (leaderCrashes) 1 else 0, cluster.elections - electionsBefore, "leaders since")
        assertNoViolations()
    }

    @ParameterizedTest(name = "share {0} of the machines sends nothing, leader crashes is {1}")
    @CsvSource("0.3, false", "0.3, true", "1.0, true", "1.0, false")
    fun `tasks of machines whose heartbeats are lost start elsewhere without a failover`(
        share: Double,
        leaderCrashes: Boolean,
    ) {
        startJobs()
        val electionsBefore = cluster.elections
        val machineIds = cluster.cloud.workers.map { it.id }
        cluster.faults.outboundBlocked.addAll(machineIds.take((machineIds.size * share).toInt()))
        if (leaderCrashes) after(1.0) { leader.crash(5.0) }
        after(6.0) { cancel(1) }
        after(40.0) { cluster.faults.outboundBlocked.clear() }
        runFor(110.0)
        assertFaultsOccurred("reports lost")
        assertTrue(cluster.tasksKilledByLease > 0)
        assertEquals(if (leaderCrashes) 1 else 0, cluster.elections - electionsBefore, "leaders since")
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
    fun `a team at its limit stays there although its cancelled tasks can't be reached`(
        machineFault: String,
        leaderEvent: String,
    ) {
        cluster = SimulatedCluster(7, nodeCount = 3)
        cluster.clock.after(2.0) {
            (1..6).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 4, runS = 900.0, team = "red")) }
        }
        runFor(60.0)
        val peakUsage = cluster.checker.mostUsed.getValue("red")
        assertEquals(16_000L, peakUsage.gpus, "the team did not reach its limit")
        val machines = cluster.cloud.workers
        when (machineFault) {
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
        if (leaderEvent == "the leader ends") after(1.0) { leader.crash(5.0) }
        runFor(120.0)
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        assertEquals(16_000L, cluster.checker.mostUsed.getValue("red").gpus)
        assertEquals(
            4,
            (3..6).count {
                cluster.stageOf(jobId(it)) == "running"
            },
            "the team is still held below its limit",
        )
    }

    @ParameterizedTest(name = "machines hang for {0} leases")
    @ValueSource(doubles = [0.4, 0.8, 0.97, 1.1])
    fun `machines that hang with commands in their queues violate no rule when they go on`(hangLeases: Double) {
        startJobs()
        val hungMachines = cluster.cloud.workers.take(8)
        hungMachines.forEach { it.hang(leaseS * hangLeases) }
        // Stop commands are sent directly and wait in the queues of the machines, while new tasks are placed.
        after(0.5) { (1..3).forEach { cancel(it) } }
        after(1.0) { (7..8).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 10, runS = 900.0)) } }
        runFor(90.0)
        assertFaultsOccurred("commands to the hung")
        assertNoViolations(1..8)
    }

    @Test
    fun `jobs run on after a zone with a controller was cut off for longer than a lease`() {
        startJobs(nodes = 5)
        val isolatedNode = cluster.nodes.first { !it.isLeader }
        cluster.nodes.filter { it !== isolatedNode }.forEach {
            cluster.network.cutBoth("zone:a", it.name, LinkCut.HOLD)
            cluster.network.cutBoth(isolatedNode.name, it.name, LinkCut.HOLD)
        }
        cluster.network.cutBoth(isolatedNode.name, "state", LinkCut.HOLD)
        after(5.0) { (1..2).forEach { cancel(it) } }
        after(leaseS * 2) { cluster.network.healAll() }
        runFor(110.0)
        assertTrue(cluster.tasksKilledByLease > 0, "no lease in the zone expired")
        assertNoViolations()
    }

    @Test
    fun `arrays and gangs that are bound to one zone are done although machines fail`() {
        cluster = SimulatedCluster(7, nodeCount = 3)
        after(2.0) {
            (1..4).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 8, runS = 60.0, oneZone = true)) }
            (5..6).forEach {
                cluster.submit(SimulatedCluster.job(it, Shape.GANG, tasks = 8, runS = 60.0, oneZone = true))
            }
        }
        runFor(45.0)
        val startsBefore = cluster.checker.starts
        cluster.cloud.workers.filterIndexed { i, _ -> i % 3 == 0 }.forEach { cluster.cloud.fail(it.id) }
        after(2.0) { leader.crash(3.0) }
        runFor(260.0)
        assertTrue(cluster.checker.starts > startsBefore, "no lost task was started again")
        assertNoViolations(1..6, "done")
    }
}
