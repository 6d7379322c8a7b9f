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
    private lateinit var world: SimulatedCluster
    private val leader get() = world.nodes.first { it.leading }
    private val leaseS get() = world.settings.workers.leaseS
    private val cancelled = HashSet<Int>()

    private fun id(n: Int) = "job-%06d".format(n)

    /** [jobs] arrays of ten tasks that run for [runS], all of them up: tens of machines. */
    private fun begin(nodes: Int = 3, jobs: Int = 6, runS: Double = 900.0, team: String = "blue") {
        world = SimulatedCluster(7, nodeCount = nodes)
        world.clock.after(2.0) {
            (1..jobs).forEach { world.submit(SimulatedCluster.job(it, tasks = 10, runS = runS, team = team)) }
        }
        world.clock.runUntil(60.0)
    }

    private fun at(s: Double, what: () -> Unit) = world.clock.after(s, what)

    private fun go(s: Double) = world.clock.runUntil(world.clock.now + s)

    private fun cancel(n: Int) {
        cancelled.add(n)
        world.cancel(id(n))
    }

    private fun outage(forS: Double) {
        world.state.outage = true
        at(forS) { world.state.outage = false }
    }

    private fun felt(vararg what: String) = what.forEach {
        assertTrue((world.felt[it] ?: 0) > 0, "$it did not happen: ${world.felt}")
    }

    /** No rule broken; the jobs that were not cancelled are [stage]. */
    private fun unbroken(jobs: IntRange = 1..6, stage: String = "running") {
        assertEquals(emptyList<String>(), world.checker.broken.take(5))
        jobs.forEach { assertEquals(if (it in cancelled) "withdrawn" else stage, world.stageOf(id(it)), id(it)) }
    }

    @ParameterizedTest(name = "{0} nodes, {1} of the machines deaf, the leader ends: {2}")
    @CsvSource("3, 1.0, true", "5, 1.0, true", "7, 1.0, true", "5, 0.7, true", "7, 0.7, false", "3, 0.7, false")
    fun `deaf machines move no lead`(nodes: Int, share: Double, leaderEnds: Boolean) {
        begin(nodes)
        val before = world.wins
        val ids = world.cloud.workers.map { it.id }
        world.deaf.addAll(ids.take((ids.size * share).toInt()))
        if (leaderEnds) at(1.0) { leader.crash(5.0) }
        go(100.0)
        felt("answers lost", "commands lost")
        assertTrue(world.leaseDeaths >= 60 * share - 10, "${world.leaseDeaths} tasks killed")
        assertEquals(if (leaderEnds) 1 else 0, world.wins - before, "leaders since")
        unbroken()
    }

    @ParameterizedTest(name = "{0} of the machines mute, the leader ends: {1}")
    @CsvSource("0.3, false", "0.3, true", "1.0, true", "1.0, false")
    fun `mute machines - their work starts elsewhere, cancelled tasks are stopped by direct commands, no lead moves`(
        share: Double,
        leaderEnds: Boolean,
    ) {
        begin()
        val before = world.wins
        val ids = world.cloud.workers.map { it.id }
        world.mute.addAll(ids.take((ids.size * share).toInt()))
        if (leaderEnds) at(1.0) { leader.crash(5.0) }
        at(6.0) { cancel(1) }
        at(40.0) { world.mute.clear() }
        go(110.0)
        felt("reports lost")
        assertTrue(world.leaseDeaths > 0)
        assertEquals(if (leaderEnds) 1 else 0, world.wins - before, "leaders since")
        unbroken()
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "no other trouble", "the leader ends", "a node stands still", "a node has just started", "late writes",
            "lost answers", "a node is cut from the store",
        ],
    )
    fun `users ask at all nodes and repeat themselves as jobs are accepted, end and are cancelled`(trouble: String) {
        world = SimulatedCluster(9, nodeCount = 5)
        world.closeLooks = true
        world.cancelAtEnd = 0.3
        for (n in 1..60) {
            at(2.0 + n) {
                world.submit(
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
                when (trouble) {
                    "the leader ends" -> leader.crash(3.0)
                    "a node stands still" -> world.nodes.first { !it.leading }.freeze(9.0)
                    "a node has just started" -> world.nodes.first { !it.leading }.crash(0.1)
                    "a node is cut from the store" -> world.nodes.first { !it.leading }.name.let { n ->
                        world.cuts.add("$n-state")
                        at(10.0) { world.cuts.remove("$n-state") }
                    }
                    "late writes" -> {
                        world.lateWrites = 0.2
                        at(15.0) { world.lateWrites = 0.0 }
                    }
                    "lost answers" -> {
                        world.lostAnswers = 0.2
                        at(15.0) { world.lostAnswers = 0.0 }
                    }
                }
            }
        }
        go(200.0)
        felt("close looks", "cancelled at its end")
        assertEquals(emptyList<String>(), world.checker.broken.take(5))
        (1..60).forEach {
            assertTrue(world.stageOf(id(it)) in setOf("done", "withdrawn"), "${id(it)} is ${world.stageOf(id(it))}")
        }
    }

    @Test
    fun `odd requests are refused for what they are, and repeats of the accepted never`() {
        begin(nodes = 5, runS = 40.0)
        repeat(60) { s ->
            at(s.toDouble()) {
                world.users.beOdd(
                    (1..6).map(::id).filter {
                        world.checker.stageTold(it) ==
                            "done"
                    },
                    (1..6).map(::id).filter { world.checker.stageTold(it) == null },
                )
            }
        }
        at(10.0) { leader.crash(3.0) }
        go(120.0)
        felt("odd requests")
        unbroken(stage = "done")
    }

    @Test
    fun `an answer that is lost is no refusal, whatever was written`() {
        world = SimulatedCluster(5, nodeCount = 3)
        world.lostAnswers = 0.4
        for (n in 1..40) {
            at(2.0 + n) {
                world.submit(
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
        at(90.0) { world.lostAnswers = 0.0 }
        go(180.0)
        felt(
            "lost answer: j",
            "lost answer: t",
            "lost answer: f",
            "lost answer: fleet",
            "lost answer: leader",
            "lost answer: catalog",
        )
        assertEquals(emptyList<String>(), world.checker.broken.take(5))
        (1..40).forEach { assertEquals(if (it % 4 == 0) "withdrawn" else "done", world.stageOf(id(it)), id(it)) }
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
        world = SimulatedCluster(7, nodeCount = 3)
        world.clock.after(2.0) {
            (1..6).forEach { world.submit(SimulatedCluster.job(it, tasks = 4, runS = 900.0, team = "red")) }
        }
        go(60.0)
        val limit = world.checker.mostUsed.getValue("red")
        assertEquals(16_000L, limit.gpus, "the limit was reached")
        val machines = world.cloud.workers
        when (how) {
            "cut off" -> {
                world.cutZones.addAll(listOf("a", "b"))
                at(25.0) { world.cutZones.clear() }
            }
            "hang" -> machines.forEach { it.hang(leaseS * 0.9) }
            "deaf" -> {
                world.deaf.addAll(machines.map { it.id })
                at(40.0) { world.deaf.clear() }
            }
            else -> {
                world.mute.addAll(machines.map { it.id })
                at(40.0) { world.mute.clear() }
            }
        }
        at(0.5) { (1..2).forEach { cancel(it) } }
        if (lead == "the leader ends") at(1.0) { leader.crash(5.0) }
        go(120.0)
        assertEquals(emptyList<String>(), world.checker.broken.take(5))
        assertEquals(16_000L, world.checker.mostUsed.getValue("red").gpus)
        assertEquals(4, (3..6).count { world.stageOf(id(it)) == "running" }, "not held below its limit for long")
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
        for (n in 4..9) at(8.0 + (n - 4) * 0.35) { world.submit(SimulatedCluster.job(n, tasks = 4, runS = 900.0)) }
        val before = world.wins
        at(10.0) {
            when (how) {
                "crash" -> leader.crash(6.0)
                "yield" -> leader.name.let { l ->
                    world.cuts.add("$l-state")
                    at(8.0) { world.cuts.remove("$l-state") }
                }
                "freeze" -> leader.freeze(7.0)
                else -> world.nodes.forEachIndexed { i, node -> at(i * 2.0) { node.crash(1.0) } }
            }
        }
        at(10.0 + afterS) { (4..9).forEach { cancel(it) } }
        go(100.0)
        assertTrue(world.wins > before, "the lead changed")
        assertEquals(0, world.checker.startsAfterCancel, "starts after a confirmed cancellation")
        unbroken(1..9)
    }

    @ParameterizedTest(name = "the leader ends {0} s after the burst")
    @ValueSource(doubles = [0.15, 0.3, 0.45, 0.7, 1.0, 1.6, 2.5, 4.0])
    fun `machines up within two seconds get work while writes lag and the leader ends`(endsAfterS: Double) {
        world = SimulatedCluster(7, nodeCount = 3)
        world.cloud.bootFactor = 0.1
        go(5.0)
        world.lateWrites = 0.3
        at(30.0) { world.lateWrites = 0.0 }
        (1..6).forEach { world.submit(SimulatedCluster.job(it, tasks = 10, runS = 900.0)) }
        at(endsAfterS) { leader.crash(3.0) }
        go(110.0)
        felt("late writes")
        unbroken()
        assertTrue(world.cloud.alive.size in 15..25, "${world.cloud.alive.size} machines for 60 tasks, 4 on each")
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
        val before = world.wins
        world.copiesForNext = 0.5
        go(10.0)
        world.copiesForNext = 0.0
        val lost = world.cloud.workers.filterIndexed { i, _ -> i % 2 == 0 }
        when (how) {
            // Everybody is away until the leases are over; the copies are of the session before.
            "the machines begin a new session meanwhile" -> world.nodes.forEach {
                it.crash(
                    leaseS + 4.0 + world.random.nextDouble(),
                )
            }
            "half of the machines die with the leader" -> {
                lost.forEach { world.cloud.fail(it.id) }
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
        felt("copies for the next")
        assertTrue(world.felt.keys.any { it.startsWith("copies taken") }, "a leader took a copy for the first word")
        assertTrue(world.wins > before)
        // No machine is hidden, and no task waits for the lease of a machine of which only an old report is known.
        unbroken()
        assertTrue(world.checker.startsAfterCancel == 0)
    }

    @Test
    fun `one-task jobs four a second, a quarter cancelled`() {
        world = SimulatedCluster(3, nodeCount = 3)
        var asked = 0
        for (n in 1..720) {
            at(5.0 + n * 0.25) {
                world.submit(
                    SimulatedCluster.job(n, tasks = 1, runS = 6.0),
                    if (n % 4 ==
                        0
                    ) {
                        world.random.nextDouble() * 8.0
                    } else {
                        null
                    },
                )
                asked++
            }
        }
        go(185.0)
        val changes = world.state.changes
        go(60.0)
        assertEquals(720, asked)
        assertEquals(emptyList<String>(), world.checker.broken.take(5))
        (1..720).forEach {
            assertTrue(
                world.stageOf(id(it)) == "done" || it % 4 == 0 && world.stageOf(id(it)) == "withdrawn",
                "${id(it)} is ${world.stageOf(id(it))}",
            )
        }
        assertTrue(changes / 180.0 < world.settings.state.writeRps * 0.75, "${changes / 180.0} changes a second")
        assertTrue(
            world.state.calls.beyond == 0 && world.state.writes.beyond == 0,
            "beyond the settings: ${world.state.calls.beyond} calls, ${world.state.writes.beyond} changes",
        )
    }

    @ParameterizedTest(name = "hung for {0} leases")
    @ValueSource(doubles = [0.4, 0.8, 0.97, 1.1])
    fun `a hung machine with commands in its queue goes on`(leases: Double) {
        begin()
        val hung = world.cloud.workers.take(8)
        hung.forEach { it.hang(leaseS * leases) }
        // Stops go out directly and wait in its queue; new work is placed meanwhile.
        at(0.5) { (1..3).forEach { cancel(it) } }
        at(1.0) { (7..8).forEach { world.submit(SimulatedCluster.job(it, tasks = 10, runS = 900.0)) } }
        go(90.0)
        felt("commands to the hung")
        unbroken(1..8)
    }

    @Test
    fun `a zone with workers and a controller is cut off for longer than a lease`() {
        begin(nodes = 5)
        val inside = world.nodes.first { !it.leading }
        world.nodes.filter { it !== inside }.forEach {
            world.wiring.cutBoth("zone:a", it.name, LinkCut.HOLD)
            world.wiring.cutBoth(inside.name, it.name, LinkCut.HOLD)
        }
        world.wiring.cutBoth(inside.name, "state", LinkCut.HOLD)
        at(5.0) { (1..2).forEach { cancel(it) } }
        at(leaseS * 2) { world.wiring.healAll() }
        go(110.0)
        assertTrue(world.leaseDeaths > 0, "the zone's leases ran out")
        unbroken()
    }

    @ParameterizedTest(name = "an outage meanwhile: {0}")
    @ValueSource(booleans = [false, true])
    fun `leaders change ten times in two minutes`(outage: Boolean) {
        begin(nodes = 5)
        val before = world.wins
        repeat(12) { n -> at(n * 10.0) { world.nodes.firstOrNull { it.leading }?.crash(2.0) } }
        if (outage) at(45.0) { outage(20.0) }
        at(30.0) { cancel(1) }
        at(58.0) { cancel(2) }
        at(62.0) { (7..9).forEach { world.submit(SimulatedCluster.job(it, tasks = 4, runS = 900.0)) } }
        go(190.0)
        assertTrue(world.wins - before >= 10 - (if (outage) 2 else 0), "${world.wins - before} leaders")
        // A leader that ends within an outage has no successor before it is over: that is known, and no rule.
        if (!outage) assertEquals(0, world.leaseDeaths)
        unbroken(1..9)
    }

    @Test
    fun `all controllers are away for longer than a lease`() {
        begin()
        world.nodes.forEach { it.crash(leaseS + 6.0) }
        at(1.0) { cancel(1) }
        go(100.0)
        assertTrue(world.leaseDeaths > 0, "leases ran out")
        unbroken()
    }

    @Test
    fun `all end and one returns within a second, and leads`() {
        begin()
        world.nodes.forEachIndexed { i, node -> node.crash(if (i == 1) 0.4 else 20.0) }
        at(0.2) { cancel(1) }
        go(10.0)
        assertTrue(world.nodes[1].leading)
        go(60.0)
        assertEquals(0, world.leaseDeaths)
        unbroken()
    }

    @Test
    fun `jobs bound to one zone, arrays too, lose machines`() {
        world = SimulatedCluster(7, nodeCount = 3)
        at(2.0) {
            (1..4).forEach { world.submit(SimulatedCluster.job(it, tasks = 8, runS = 60.0, oneZone = true)) }
            (5..6).forEach {
                world.submit(SimulatedCluster.job(it, Shape.GANG, tasks = 8, runS = 60.0, oneZone = true))
            }
        }
        go(45.0)
        val before = world.checker.starts
        world.cloud.workers.filterIndexed { i, _ -> i % 3 == 0 }.forEach { world.cloud.fail(it.id) }
        at(2.0) { leader.crash(3.0) }
        go(260.0)
        assertTrue(world.checker.starts > before, "lost tasks were started again")
        unbroken(1..6, "done")
    }

    @Test
    fun `more work than room, urgent and not, over slow links`() {
        world = SimulatedCluster(7, nodeCount = 3)
        world.cloud.capacity = 5
        for (n in 1..24) {
            at(2.0 + n) {
                world.submit(
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
                world.nodes.forEach { n ->
                    listOf("state", "workers").forEach { world.wiring.cutBoth(n.name, it, LinkCut.HOLD) }
                }
                at(3.0) { world.wiring.healAll() }
            }
        }
        go(330.0)
        assertEquals(emptyList<String>(), world.checker.broken.take(5))
        assertEquals(5, world.cloud.most)
        (1..24).forEach {
            assertTrue(
                world.stageOf(id(it)) in if (it % 8 ==
                    0
                ) {
                    setOf("done", "withdrawn")
                } else {
                    setOf("done")
                },
                "${id(it)} is ${world.stageOf(id(it))}",
            )
        }
    }
}
