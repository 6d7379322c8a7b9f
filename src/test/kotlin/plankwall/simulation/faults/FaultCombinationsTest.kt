package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import plankwall.model.Shape
import plankwall.simulation.LinkCut
import plankwall.simulation.SimulatedCluster

/**
 * Fault combinations that the operators name, each by itself: that it took hold, that no rule broke, and what became of
 * the jobs.
 */
class FaultCombinationsTest {
    private lateinit var cluster: SimulatedCluster
    private val leader get() = cluster.nodes.first { it.leading }
    private val leaseS get() = cluster.settings.workers.leaseS
    private val cancelled = HashSet<Int>()

    private fun id(n: Int) = "job-%06d".format(n)

    /** [jobs] arrays of ten tasks that run for [runS], all of them up: tens of machines. */
    private fun begin(nodes: Int = 3, jobs: Int = 6, runS: Double = 900.0, team: String = "blue") {
        cluster = SimulatedCluster(7, nodeCount = nodes)
        cluster.clock.after(2.0) {
            (1..jobs).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 10, runS = runS, team = team)) }
        }
        cluster.clock.runUntil(60.0)
    }

    private fun at(s: Double, what: () -> Unit) = cluster.clock.after(s, what)

    private fun go(s: Double) = cluster.clock.runUntil(cluster.clock.now + s)

    private fun cancel(n: Int) {
        cancelled.add(n)
        cluster.cancel(id(n))
    }

    private fun outage(forS: Double) {
        cluster.state.outage = true
        at(forS) { cluster.state.outage = false }
    }

    private fun assertFaultsOccurred(vararg what: String) = what.forEach {
        assertTrue((cluster.faults.counts[it] ?: 0) > 0, "$it did not happen: ${cluster.faults.counts}")
    }

    /** No rule broken; the jobs that were not cancelled are [stage]. */
    private fun unbroken(jobs: IntRange = 1..6, stage: String = "running") {
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        jobs.forEach { assertEquals(if (it in cancelled) "withdrawn" else stage, cluster.stageOf(id(it)), id(it)) }
    }

    @ParameterizedTest(name = "{0} nodes, {1} of the machines deaf, the leader ends: {2}")
    @CsvSource("3, 1.0, true", "5, 1.0, true", "7, 1.0, true", "5, 0.7, true", "7, 0.7, false", "3, 0.7, false")
    fun `deaf machines move no lead`(nodes: Int, share: Double, leaderEnds: Boolean) {
        begin(nodes)
        val before = cluster.elections
        val ids = cluster.cloud.workers.map { it.id }
        cluster.faults.inboundBlocked.addAll(ids.take((ids.size * share).toInt()))
        if (leaderEnds) at(1.0) { leader.crash(5.0) }
        go(100.0)
        assertFaultsOccurred("answers lost", "commands lost")
        assertTrue(cluster.tasksKilledByLease >= 60 * share - 10, "${cluster.tasksKilledByLease} tasks killed")
        assertEquals(if (leaderEnds) 1 else 0, cluster.elections - before, "leaders since")
        unbroken()
    }

    @ParameterizedTest(name = "{0} of the machines mute, the leader ends: {1}")
    @CsvSource("0.3, false", "0.3, true", "1.0, true", "1.0, false")
    fun `mute machines - their work starts elsewhere, cancelled tasks are stopped by direct commands, no lead moves`(
        share: Double,
        leaderEnds: Boolean,
    ) {
        begin()
        val before = cluster.elections
        val ids = cluster.cloud.workers.map { it.id }
        cluster.faults.outboundBlocked.addAll(ids.take((ids.size * share).toInt()))
        if (leaderEnds) at(1.0) { leader.crash(5.0) }
        at(6.0) { cancel(1) }
        at(40.0) { cluster.faults.outboundBlocked.clear() }
        go(110.0)
        assertFaultsOccurred("reports lost")
        assertTrue(cluster.tasksKilledByLease > 0)
        assertEquals(if (leaderEnds) 1 else 0, cluster.elections - before, "leaders since")
        unbroken()
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "no other trouble", "the leader ends", "a node stands still", "a node has just started", "late writes",
            "lost answers", "a node is cut from the store",
        ],
    )
    fun `users ask at all nodes and repeat themselves as jobs are accepted, end and are cancelled`(fault: String) {
        cluster = SimulatedCluster(9, nodeCount = 5)
        cluster.faults.concurrentRequests = true
        cluster.faults.cancelAtCompletion = 0.3
        for (n in 1..60) {
            at(2.0 + n) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 1 + n % 3,
                        runS = 8.0,
                        after = if (n % 10 ==
                            0
                        ) {
                            listOf(n - 1)
                        } else {
                            emptyList()
                        },
                    ),
                    if (n % 4 == 0) n % 3 * 5.0 else null,
                )
            }
        }
        for (s in listOf(20.0, 40.0)) {
            at(s) {
                when (fault) {
                    "the leader ends" -> leader.crash(3.0)
                    "a node stands still" -> cluster.nodes.first { !it.leading }.freeze(9.0)
                    "a node has just started" -> cluster.nodes.first { !it.leading }.crash(0.1)
                    "a node is cut from the store" -> cluster.nodes.first { !it.leading }.name.let { n ->
                        cluster.faults.cuts.add("$n-state")
                        at(10.0) { cluster.faults.cuts.remove("$n-state") }
                    }
                    "late writes" -> {
                        cluster.faults.lateWrites = 0.2
                        at(15.0) { cluster.faults.lateWrites = 0.0 }
                    }
                    "lost answers" -> {
                        cluster.faults.lostCommitAnswers = 0.2
                        at(15.0) { cluster.faults.lostCommitAnswers = 0.0 }
                    }
                }
            }
        }
        go(200.0)
        assertFaultsOccurred("close looks", "cancelled at its end")
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        (1..60).forEach {
            assertTrue(cluster.stageOf(id(it)) in setOf("done", "withdrawn"), "${id(it)} is ${cluster.stageOf(id(it))}")
        }
    }

    @Test
    fun `odd requests are refused for what they are, and repeats of the accepted never`() {
        begin(nodes = 5, runS = 40.0)
        repeat(60) { s ->
            at(s.toDouble()) {
                cluster.retryingUsers.sendInvalidRequests(
                    (1..6).map(::id).filter {
                        cluster.checker.finalStageOf(it) ==
                            "done"
                    },
                    (1..6).map(::id).filter { cluster.checker.finalStageOf(it) == null },
                )
            }
        }
        at(10.0) { leader.crash(3.0) }
        go(120.0)
        assertFaultsOccurred("odd requests")
        unbroken(stage = "done")
    }

    @Test
    fun `an answer that is lost is no refusal, whatever was written`() {
        cluster = SimulatedCluster(5, nodeCount = 3)
        cluster.faults.lostCommitAnswers = 0.4
        for (n in 1..40) {
            at(2.0 + n) {
                cluster.submit(
                    SimulatedCluster.job(n, tasks = 3, runS = 12.0),
                    if (n % 4 ==
                        0
                    ) {
                        6.0
                    } else {
                        null
                    },
                )
            }
        }
        listOf(15.0, 30.0).forEach { at(it) { leader.crash(4.0) } }
        at(90.0) { cluster.faults.lostCommitAnswers = 0.0 }
        go(180.0)
        assertFaultsOccurred(
            "lost answer: j",
            "lost answer: t",
            "lost answer: f",
            "lost answer: fleet",
            "lost answer: leader",
            "lost answer: catalog",
        )
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        (1..40).forEach { assertEquals(if (it % 4 == 0) "withdrawn" else "done", cluster.stageOf(id(it)), id(it)) }
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
        go(60.0)
        val limit = cluster.checker.mostUsed.getValue("red")
        assertEquals(16_000L, limit.gpus, "the limit was reached")
        val machines = cluster.cloud.workers
        when (how) {
            "cut off" -> {
                cluster.faults.cutZones.addAll(listOf("a", "b"))
                at(25.0) { cluster.faults.cutZones.clear() }
            }
            "hang" -> machines.forEach { it.hang(leaseS * 0.9) }
            "deaf" -> {
                cluster.faults.inboundBlocked.addAll(machines.map { it.id })
                at(40.0) { cluster.faults.inboundBlocked.clear() }
            }
            else -> {
                cluster.faults.outboundBlocked.addAll(machines.map { it.id })
                at(40.0) { cluster.faults.outboundBlocked.clear() }
            }
        }
        at(0.5) { (1..2).forEach { cancel(it) } }
        if (lead == "the leader ends") at(1.0) { leader.crash(5.0) }
        go(120.0)
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        assertEquals(16_000L, cluster.checker.mostUsed.getValue("red").gpus)
        assertEquals(4, (3..6).count { cluster.stageOf(id(it)) == "running" }, "not held below its limit for long")
    }

    @ParameterizedTest(name = "{0}, cancelled {1} s after")
    @CsvSource(
        "crash, -0.5", "crash, -0.05", "crash, 0.0", "crash, 0.2", "crash, 1.0", "crash, 2.5", "crash, 3.0",
        "crash, 3.5",
        "yield, -0.05", "yield, 0.0", "yield, 0.5", "yield, 1.5", "yield, 3.0",
        "freeze, -0.1", "freeze, 0.5", "freeze, 2.7", "freeze, 3.5",
        "roll, 0.0", "roll, 1.0", "roll, 4.0",
    )
    fun `cancelled in the seconds in which the work changes hands`(how: String, afterS: Double) {
        begin(jobs = 3)
        // Starts are under way at that moment: stored, sent, in an answer on its way.
        for (n in 4..9) at(8.0 + (n - 4) * 0.35) { cluster.submit(SimulatedCluster.job(n, tasks = 4, runS = 900.0)) }
        val before = cluster.elections
        at(10.0) {
            when (how) {
                "crash" -> leader.crash(6.0)
                "yield" -> leader.name.let { l ->
                    cluster.faults.cuts.add("$l-state")
                    at(8.0) { cluster.faults.cuts.remove("$l-state") }
                }
                "freeze" -> leader.freeze(7.0)
                else -> cluster.nodes.forEachIndexed { i, node -> at(i * 2.0) { node.crash(1.0) } }
            }
        }
        at(10.0 + afterS) { (4..9).forEach { cancel(it) } }
        go(100.0)
        assertTrue(cluster.elections > before, "the lead changed")
        assertEquals(0, cluster.checker.startsAfterCancel, "starts after a confirmed cancellation")
        unbroken(1..9)
    }

    @ParameterizedTest(name = "the leader ends {0} s after the burst")
    @ValueSource(doubles = [0.15, 0.3, 0.45, 0.7, 1.0, 1.6, 2.5, 4.0])
    fun `machines up within two seconds get work while writes lag and the leader ends`(endsAfterS: Double) {
        cluster = SimulatedCluster(7, nodeCount = 3)
        cluster.cloud.bootFactor = 0.1
        go(5.0)
        cluster.faults.lateWrites = 0.3
        at(30.0) { cluster.faults.lateWrites = 0.0 }
        (1..6).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 10, runS = 900.0)) }
        at(endsAfterS) { leader.crash(3.0) }
        go(110.0)
        assertFaultsOccurred("late writes")
        unbroken()
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
    fun `old reports reach every node as a new leader begins`(how: String) {
        begin(nodes = 5)
        val before = cluster.elections
        cluster.faults.copiesForNextLeader = 0.5
        go(10.0)
        cluster.faults.copiesForNextLeader = 0.0
        val lost = cluster.cloud.workers.filterIndexed { i, _ -> i % 2 == 0 }
        when (how) {
            // Everybody is away until the leases are over; the copies are of the session before.
            "the machines begin a new session meanwhile" -> cluster.nodes.forEach {
                it.crash(
                    leaseS + 4.0 + cluster.random.nextDouble(),
                )
            }
            "half of the machines die with the leader" -> {
                lost.forEach { cluster.cloud.fail(it.id) }
                leader.crash(4.0)
            }
            else -> leader.crash(4.0)
        }
        if (how == "cancelled meanwhile") at(0.5) { cancel(1) }
        go(
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
        unbroken()
        assertTrue(cluster.checker.startsAfterCancel == 0)
    }

    @Test
    fun `one-task jobs four a second, a quarter cancelled`() {
        cluster = SimulatedCluster(3, nodeCount = 3)
        var asked = 0
        for (n in 1..720) {
            at(5.0 + n * 0.25) {
                cluster.submit(
                    SimulatedCluster.job(n, tasks = 1, runS = 6.0),
                    if (n % 4 ==
                        0
                    ) {
                        cluster.random.nextDouble() * 8.0
                    } else {
                        null
                    },
                )
                asked++
            }
        }
        go(185.0)
        val changes = cluster.state.changes
        go(60.0)
        assertEquals(720, asked)
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        (1..720).forEach {
            assertTrue(
                cluster.stageOf(id(it)) == "done" || it % 4 == 0 && cluster.stageOf(id(it)) == "withdrawn",
                "${id(it)} is ${cluster.stageOf(id(it))}",
            )
        }
        assertTrue(changes / 180.0 < cluster.settings.state.writeRps * 0.75, "${changes / 180.0} changes a second")
        assertTrue(
            cluster.state.calls.beyond == 0 && cluster.state.writes.beyond == 0,
            "beyond the settings: ${cluster.state.calls.beyond} calls, ${cluster.state.writes.beyond} changes",
        )
    }

    @ParameterizedTest(name = "hung for {0} leases")
    @ValueSource(doubles = [0.4, 0.8, 0.97, 1.1])
    fun `a hung machine with commands in its queue goes on`(leases: Double) {
        begin()
        val hung = cluster.cloud.workers.take(8)
        hung.forEach { it.hang(leaseS * leases) }
        // Stops go out directly and wait in its queue; new work is placed meanwhile.
        at(0.5) { (1..3).forEach { cancel(it) } }
        at(1.0) { (7..8).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 10, runS = 900.0)) } }
        go(90.0)
        assertFaultsOccurred("commands to the hung")
        unbroken(1..8)
    }

    @Test
    fun `a zone with workers and a controller is cut off for longer than a lease`() {
        begin(nodes = 5)
        val inside = cluster.nodes.first { !it.leading }
        cluster.nodes.filter { it !== inside }.forEach {
            cluster.network.cutBoth("zone:a", it.name, LinkCut.HOLD)
            cluster.network.cutBoth(inside.name, it.name, LinkCut.HOLD)
        }
        cluster.network.cutBoth(inside.name, "state", LinkCut.HOLD)
        at(5.0) { (1..2).forEach { cancel(it) } }
        at(leaseS * 2) { cluster.network.healAll() }
        go(110.0)
        assertTrue(cluster.tasksKilledByLease > 0, "the zone's leases ran out")
        unbroken()
    }

    @ParameterizedTest(name = "an outage meanwhile: {0}")
    @ValueSource(booleans = [false, true])
    fun `leaders change ten times in two minutes`(outage: Boolean) {
        begin(nodes = 5)
        val before = cluster.elections
        repeat(12) { n -> at(n * 10.0) { cluster.nodes.firstOrNull { it.leading }?.crash(2.0) } }
        if (outage) at(45.0) { outage(20.0) }
        at(30.0) { cancel(1) }
        at(58.0) { cancel(2) }
        at(62.0) { (7..9).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 4, runS = 900.0)) } }
        go(190.0)
        assertTrue(cluster.elections - before >= 10 - (if (outage) 2 else 0), "${cluster.elections - before} leaders")
        // A leader that ends within an outage has no successor before it is over: that is known, and no rule.
        if (!outage) assertEquals(0, cluster.tasksKilledByLease)
        unbroken(1..9)
    }

    @Test
    fun `all controllers are away for longer than a lease`() {
        begin()
        cluster.nodes.forEach { it.crash(leaseS + 6.0) }
        at(1.0) { cancel(1) }
        go(100.0)
        assertTrue(cluster.tasksKilledByLease > 0, "leases ran out")
        unbroken()
    }

    @Test
    fun `all end and one returns within a second, and leads`() {
        begin()
        cluster.nodes.forEachIndexed { i, node -> node.crash(if (i == 1) 0.4 else 20.0) }
        at(0.2) { cancel(1) }
        go(10.0)
        assertTrue(cluster.nodes[1].leading)
        go(60.0)
        assertEquals(0, cluster.tasksKilledByLease)
        unbroken()
    }

    @Test
    fun `jobs bound to one zone, arrays too, lose machines`() {
        cluster = SimulatedCluster(7, nodeCount = 3)
        at(2.0) {
            (1..4).forEach { cluster.submit(SimulatedCluster.job(it, tasks = 8, runS = 60.0, oneZone = true)) }
            (5..6).forEach {
                cluster.submit(SimulatedCluster.job(it, Shape.GANG, tasks = 8, runS = 60.0, oneZone = true))
            }
        }
        go(45.0)
        val before = cluster.checker.starts
        cluster.cloud.workers.filterIndexed { i, _ -> i % 3 == 0 }.forEach { cluster.cloud.fail(it.id) }
        at(2.0) { leader.crash(3.0) }
        go(260.0)
        assertTrue(cluster.checker.starts > before, "lost tasks were started again")
        unbroken(1..6, "done")
    }

    @Test
    fun `more work than room, urgent and not, over slow links`() {
        cluster = SimulatedCluster(7, nodeCount = 3)
        cluster.cloud.capacity = 5
        for (n in 1..24) {
            at(2.0 + n) {
                cluster.submit(
                    SimulatedCluster.job(
                        n,
                        tasks = 4,
                        runS = 15.0,
                        priority = if (n % 3 ==
                            0
                        ) {
                            plankwall.model.Priority.HIGH
                        } else {
                            plankwall.model.Priority.LOW
                        },
                    ),
                    if (n % 8 == 0) 10.0 else null,
                )
            }
        }
        // Every ten seconds all that the nodes send each other, the store and the workers takes three seconds.
        for (s in 1..10) {
            at(s * 10.0) {
                cluster.nodes.forEach { n ->
                    listOf("state", "workers").forEach { cluster.network.cutBoth(n.name, it, LinkCut.HOLD) }
                }
                at(3.0) { cluster.network.healAll() }
            }
        }
        go(330.0)
        assertEquals(emptyList<String>(), cluster.checker.violations.take(5))
        assertEquals(5, cluster.cloud.maxInstances)
        (1..24).forEach {
            assertTrue(
                cluster.stageOf(id(it)) in if (it % 8 ==
                    0
                ) {
                    setOf("done", "withdrawn")
                } else {
                    setOf("done")
                },
                "${id(it)} is ${cluster.stageOf(id(it))}",
            )
        }
    }
}
