package plankwall.simulation.faults

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.model.GroupKey
import plankwall.model.Shape
import plankwall.model.Tuning
import plankwall.simulation.LinkCut
import plankwall.simulation.SimulatedCluster
import plankwall.simulation.SimulatedController
import plankwall.wire.AnswerBatch
import plankwall.wire.FullHeartbeat
import plankwall.wire.HeartbeatBatch
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus

/**
 * Workers' sessions on every node, with five nodes and three hundred workers in virtual time, and what can fail there.
 */
class SpreadSessionsTest {
    private val cluster =
        SimulatedCluster(71, nodeCount = 5, tuning = Tuning(spreadSessionsAt = 0.2, unneededS = 7200.0))
    private val servedBy = HashMap<String, SimulatedController>()
    private val servedAt = HashMap<String, Double>()
    private var served = 0

    init {
        cluster.cloud.capacity = MACHINES
        listOf("a", "b").forEach { zone ->
            cluster.cloud.addRunning(GroupKey("box", zone, false), MACHINES / 2) {
                cluster.random.nextDouble() *
                    3
            }
        }
        cluster.onHeartbeatServed = { worker, node ->
            servedBy[worker.id] = node
            servedAt[worker.id] = cluster.clock.now
            served++
        }
        for (n in 1..40) {
            cluster.clock.after(8.0 + n * 0.1) {
                cluster.submit(SimulatedCluster.job(n, Shape.SERVICE, tasks = 10, gpus = 0, spread = true))
            }
        }
        for (n in 41..100) {
            cluster.clock.after(20.0 + n * 1.2) {
                cluster.submit(
                    SimulatedCluster.job(n, tasks = 6, gpus = 0, runS = 8.0),
                    cancelAfterS = if (n % 7 == 0) {
                        3.0
                    } else {
                        null
                    },
                )
            }
        }
    }

    private fun leader(): SimulatedController = cluster.nodes.first { it.isLeader }

    private fun followers(): List<SimulatedController> = cluster.nodes.filter { !it.isLeader && it.isUp }

    private fun servedHere(node: SimulatedController): Int = servedBy.values.count { it === node }

    private fun assertSpread() {
        val leading = leader()
        assertTrue(servedHere(leading) < MACHINES / 20, "${servedHere(leading)} workers at the leader")
        followers().forEach { assertTrue(servedHere(it) in 30..130, "${servedHere(it)} at ${it.name}") }
    }

    private fun assertServed(withinS: Double = 9.0, lost: Int = 0) {
        val alive = cluster.cloud.workers.map { it.id }
        val late = alive.filter { cluster.clock.now - (servedAt[it] ?: 0.0) > withinS }
        assertEquals(0, late.size, "not served lately: ${late.take(5)}")
        assertTrue(alive.size >= MACHINES - lost, "${alive.size} machines left")
    }

    @Test
    fun `beyond the leader's part the others serve the workers, and few reports go to each`() {
        cluster.clock.runUntil(60.0)
        assertSpread()
        val before = served
        cluster.clock.runUntil(90.0)
        // Every worker's report is answered at the first node it asks: none is sent on.
        assertTrue(served - before >= MACHINES * 9, "${served - before} answers in 30 s")
        assertServed()
        assertEquals(0, cluster.tasksKilledByLease)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `where all fit on the leader they stay there`() {
        val small = SimulatedCluster(72, nodeCount = 5, tuning = Tuning(spreadSessionsAt = 0.5, unneededS = 7200.0))
        val at = HashSet<SimulatedController>()
        small.cloud.capacity = MACHINES
        small.cloud.addRunning(GroupKey("box", "a", false), MACHINES) { 1.0 }
        small.clock.after(30.0) { small.onHeartbeatServed = { _, node -> at.add(node) } }
        small.clock.runUntil(45.0)
        assertEquals(setOf(small.nodes.first { it.isLeader }), at)
    }

    private fun strike(what: String): SimulatedController {
        val leading = leader()
        val home = followers().maxBy(::servedHere)
        when (what) {
            "a session's node ends" -> home.crash(8.0)
            "it is frozen" -> home.freeze(9.0)
            "it is cut from the leader" -> cut(home.name, leading.name, 15.0)
            "it is cut from the leader, frames held" -> cut(home.name, leading.name, 15.0, LinkCut.HOLD)
            "it is cut from the workers" -> cut(home.name, "workers", 15.0)
            "it is cut from the store" -> cut(home.name, "state", 20.0)
            "the leader ends" -> leading.crash(8.0)
            "the leader and a session's node end" -> listOf(leading, home).forEach { it.crash(6.0) }
            "all controllers end" -> cluster.nodes.forEach { it.crash(2.0) }
            "frames are lost" -> during(20.0, { cluster.faults.frameLoss = 0.05 }) { cluster.faults.frameLoss = 0.0 }
            "frames come twice and late" -> during(30.0, { cluster.faults.lateFrameCopies = 0.5 }) {
                cluster.faults.lateFrameCopies =
                    0.0
            }
            "reports come twice and late" -> during(30.0, { cluster.faults.lateHeartbeatCopies = 0.3 }) {
                cluster.faults.lateHeartbeatCopies =
                    0.0
            }
            "machines restart" -> cluster.cloud.workers.take(30).forEach { it.hang(16.0) }
            "a worker reports to two at once" -> everywhere()
            "the leader and the store's answers" -> during(20.0, {
                cluster.faults.lostCommitAnswers = 0.3
            }) { cluster.faults.lostCommitAnswers = 0.0 }.also { leading.crash(3.0) }
            else -> error(what)
        }
        return home
    }

    private fun cut(a: String, b: String, forS: Double, how: LinkCut = LinkCut.DROP) {
        cluster.network.cutBoth(a, b, how)
        cluster.clock.after(forS) { cluster.network.healBoth(a, b) }
    }

    private fun during(forS: Double, begin: () -> Unit, end: () -> Unit) {
        begin()
        cluster.clock.after(forS, end)
    }

    /** Copies of one report at every node within milliseconds, none of them waited for. */
    private fun everywhere() = cluster.cloud.workers.take(60).forEach { worker ->
        val heartbeat = worker.heartbeat()
        cluster.nodes.filter {
            it.isUp
        }.forEach { node -> node.sendRequest({ Input.Heartbeat(it, heartbeat) }) { _, _ -> } }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // what happens, how many tasks may be killed by their lease: only what hung for longer than that
        "'a session''s node ends', 0", "'it is frozen', 0", "'it is cut from the leader', 0",
        "'it is cut from the leader, frames held', 0",
        "'it is cut from the workers', 0", "'it is cut from the store', 0", "'the leader ends', 0",
        "'the leader and a session''s node end', 0",
        "'all controllers end', 0", "'frames are lost', 0", "'frames come twice and late', 0",
        "'reports come twice and late', 0",
        "'machines restart', 90", "'a worker reports to two at once', 0", "'the leader and the store''s answers', 0",
    )
    fun `no rule breaks and no lease is lost`(what: String, killed: Int) {
        cluster.clock.runUntil(50.0)
        assertSpread()
        val home = strike(what)
        cluster.clock.runUntil(51.0)
        if (what.endsWith("ends") || what.endsWith("end")) assertTrue(cluster.nodes.any { !it.isUp }, "nobody ended")
        if (what.startsWith("it is cut")) assertTrue(cluster.network.cutCount > 0 && home.isUp)
        cluster.clock.runUntil(130.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertTrue(cluster.tasksKilledByLease <= killed, "${cluster.tasksKilledByLease} tasks killed")
        assertServed(lost = if (killed > 0) 30 else 0)
        assertSpread()
        if (what.startsWith("frames")) {
            assertTrue(
                cluster.faults.counts.getOrDefault(
                    if (what == "frames are lost") "frames lost" else "late frames",
                    0,
                ) >= 20,
                "${cluster.faults.counts}",
            )
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource("'its own epoch', 0, true", "'an earlier epoch', -1, false", "'a later epoch', 1, false")
    fun `a leader reads batches of its own epoch alone`(name: String, offset: Long, read: Boolean) {
        cluster.clock.runUntil(50.0)
        val leading = leader()
        var seq = 0L
        var epoch = 0L
        var answered = 0
        cluster.onEffect = { node, e ->
            val message = (e as? Effect.PeerSend)?.message
            if (node === leading && message is PeerStatus) {
                seq = message.links!!.seq
                epoch = message.epochSeen
            }
            if (node === leading && message is AnswerBatch) answered += message.answers.count { it.id == FORGED }
        }
        cluster.clock.runUntil(52.0)
        val heartbeat = cluster.cloud.workers.first().heartbeat()
        leading.onFrame(
            PeerCodec.write(
                HeartbeatBatch(
                    followers().first().name,
                    epoch + offset,
                    seq,
                    listOf(FullHeartbeat(FORGED, "", heartbeat)),
                ),
            ),
        )
        assertEquals(if (read) 1 else 0, answered, name)
    }

    @ParameterizedTest(name = "{0} older nodes")
    @CsvSource("1", "4")
    fun `beside older nodes the others serve what they can`(previousVersionNodes: Int) {
        // Older ones send no word of sessions, so they are given none; where only they are left, all come to the
        // leader.
        cluster.nodes.drop(1).take(previousVersionNodes).forEach { cluster.faults.previousVersionNodes.add(it.name) }
        cluster.clock.runUntil(100.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertEquals(0, cluster.tasksKilledByLease)
        assertServed()
    }

    private companion object {
        const val MACHINES = 300
        const val FORGED = 7L
    }
}
