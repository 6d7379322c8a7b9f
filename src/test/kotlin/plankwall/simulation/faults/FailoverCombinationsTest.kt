package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import plankwall.fixtures.FaultCombinationFixture
import plankwall.simulation.SimulatedCluster

/** Failovers combined with cancellations, lost messages, slow machines and outages. */
class FailoverCombinationsTest : FaultCombinationFixture() {
    @ParameterizedTest(name = "{0}, cancelled {1} s after")
    @CsvSource(
        "crash, -0.5", "crash, -0.05", "crash, 0.0", "crash, 0.2", "crash, 1.0", "crash, 2.5", "crash, 3.0",
        "crash, 3.5",
        "yield, -0.05", "yield, 0.0", "yield, 0.5", "yield, 1.5", "yield, 3.0",
        "freeze, -0.1", "freeze, 0.5", "freeze, 2.7", "freeze, 3.5",
        "roll, 0.0", "roll, 1.0", "roll, 4.0",
    )
    fun `jobs cancelled in the seconds of a failover`(how: String, afterS: Double) {
        startJobs(jobs = 3)
        // Starts are under way at that moment: stored, sent, in an answer on its way.
        for (n in 4..9) after(8.0 + (n - 4) * 0.35) { cluster.submit(SimulatedCluster.job(n, tasks = 4, runS = 900.0)) }
        val before = cluster.elections
        after(10.0) {
            when (how) {
                "crash" -> leader.crash(6.0)
                "yield" -> leader.name.let { l ->
                    cluster.faults.cuts.add("$l-state")
                    after(8.0) { cluster.faults.cuts.remove("$l-state") }
                }
                "freeze" -> leader.freeze(7.0)
                else -> cluster.nodes.forEachIndexed { i, node -> after(i * 2.0) { node.crash(1.0) } }
            }
        }
        after(10.0 + afterS) { (4..9).forEach { cancel(it) } }
        runFor(100.0)
        assertTrue(cluster.elections > before, "the lead changed")
        assertEquals(0, cluster.checker.startsAfterCancel, "starts after a confirmed cancellation")
        assertNoViolations(1..9)
    }

    @ParameterizedTest(name = "the leader ends {0} s after the burst")
    @ValueSource(doubles = [0.15, 0.3, 0.45, 0.7, 1.0, 1.6, 2.5, 4.0])
    fun `machines up within two seconds get work while writes lag and the leader ends`(endsAfterS: Double) {
        cluster = SimulatedCluster(7, nodeCount = 3)
        cluster.cloud.bootFactor = 0.1
        runFor(5.0)
        cluster.faults.lateWrites = 0.3
        after(30.0) { cluster.faults.lateWrites = 0.0 }
        (1..6).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 10, runS = 900.0)) }
        after(endsAfterS) { leader.crash(3.0) }
        runFor(110.0)
        assertFaultsOccurred("late writes")
        assertNoViolations()
        assertTrue(
            cluster.cloud.instances.size in 15..25,
            "${cluster.cloud.instances.size} machines for 60 tasks, 4 on each",
        )
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(
        strings = [
            "all as it was", "the machines begin a new session meanwhile", "half of the machines die with the leader",
            "cancelled meanwhile",
        ],
    )
    fun `old heartbeats reach every controller as a new leader is elected`(how: String) {
        startJobs(nodes = 5)
        val before = cluster.elections
        cluster.faults.copiesForNextLeader = 0.5
        runFor(10.0)
        cluster.faults.copiesForNextLeader = 0.0
        val lost = cluster.cloud.workers.filterIndexed { i, _ -> i % 2 == 0 }
        when (how) {
            // Everybody is away until the leases are over; the copies are of the session before.
            "the machines begin a new session meanwhile" -> cluster.nodes.forEach {
                it.crash(leaseS + 4.0 + cluster.random.nextDouble())
            }
            "half of the machines die with the leader" -> {
                lost.forEach { cluster.cloud.fail(it.id) }
                leader.crash(4.0)
            }
            else -> leader.crash(4.0)
        }
        if (how == "cancelled meanwhile") after(0.5) { cancel(1) }
        runFor(
            if (how.startsWith("the machines")) {
                leaseS + 30.0
            } else if (how.startsWith("half")) {
                45.0
            } else {
                26.0
            },
        )
        assertFaultsOccurred("copies for the next")
        assertTrue(
            cluster.faults.counts.keys.any {
                it.startsWith("copies taken")
            },
            "a leader took a copy for the first word",
        )
        assertTrue(cluster.elections > before)
        // No machine is hidden, and no task waits for the lease of a machine of which only an old report is known.
        assertNoViolations()
        assertTrue(cluster.checker.startsAfterCancel == 0)
    }

    @ParameterizedTest(name = "an outage meanwhile: {0}")
    @ValueSource(booleans = [false, true])
    fun `leaders change ten times in two minutes`(outage: Boolean) {
        startJobs(nodes = 5)
        val before = cluster.elections
        repeat(12) { n -> after(n * 10.0) { cluster.nodes.firstOrNull { it.isLeader }?.crash(2.0) } }
        if (outage) after(45.0) { outage(20.0) }
        after(30.0) { cancel(1) }
        after(58.0) { cancel(2) }
        after(62.0) { (7..9).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 4, runS = 900.0)) } }
        runFor(190.0)
        assertTrue(cluster.elections - before >= 10 - (if (outage) 2 else 0), "${cluster.elections - before} leaders")
        // A leader that ends within an outage has no successor before it is over: that is known, and no rule.
        if (!outage) assertEquals(0, cluster.tasksKilledByLease)
        assertNoViolations(1..9)
    }

    @Test
    fun `all controllers are away for longer than a lease`() {
        startJobs()
        cluster.nodes.forEach { it.crash(leaseS + 6.0) }
        after(1.0) { cancel(1) }
        runFor(100.0)
        assertTrue(cluster.tasksKilledByLease > 0, "leases ran out")
        assertNoViolations()
    }

    @Test
    fun `all end and one returns within a second, and leads`() {
        startJobs()
        cluster.nodes.forEachIndexed { i, node -> node.crash(if (i == 1) 0.4 else 20.0) }
        after(0.2) { cancel(1) }
        runFor(10.0)
        assertTrue(cluster.nodes[1].isLeader)
        runFor(60.0)
        assertEquals(0, cluster.tasksKilledByLease)
        assertNoViolations()
    }
}
