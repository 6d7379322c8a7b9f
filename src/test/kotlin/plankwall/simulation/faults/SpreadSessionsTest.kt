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
 * Tests of faults while the sessions of workers are spread over all nodes, with five nodes and 300 workers in virtual
 * time.
 */
class SpreadSessionsTest {
    private val cluster =
        SimulatedCluster(71, nodeCount = 5, tuning = Tuning(spreadSessionsAt = 0.2, unneededS = 7200.0))
    private val servedBy = HashMap<String, SimulatedController>()
    private val servedAt = HashMap<String, Double>()
    private var servedCount = 0

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
            servedCount++
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

    private fun workersServedBy(node: SimulatedController): Int = servedBy.values.count { it === node }

    private fun assertSessionsSpread() {
        val currentLeader = leader()
        assertTrue(
            workersServedBy(currentLeader) < MACHINES / 20,
            "${workersServedBy(currentLeader)} workers are served by the leader",
        )
        followers().forEach {
            assertTrue(workersServedBy(it) in 30..130, "${workersServedBy(it)} workers are served by ${it.name}")
        }
    }

    private fun assertAllServed(withinS: Double = 9.0, maxLost: Int = 0) {
        val aliveIds = cluster.cloud.workers.map { it.id }
        val unservedIds = aliveIds.filter { cluster.clock.now - (servedAt[it] ?: 0.0) > withinS }
        assertEquals(0, unservedIds.size, "not served recently: ${unservedIds.take(5)}")
        assertTrue(aliveIds.size >= MACHINES - maxLost, "${aliveIds.size} machines are left")
    }

    @Test
    fun `followers serve the workers that exceed the leader's share without relaying heartbeats`() {
        cluster.clock.runUntil(60.0)
        assertSessionsSpread()
        val before = servedCount
        cluster.clock.runUntil(90.0)
        // Each heartbeat is answered by the first node that the worker asks; none is relayed.
        assertTrue(servedCount - before >= MACHINES * 9, "${servedCount - before} answers in 30 s")
        assertAllServed()
        assertEquals(0, cluster.tasksKilledByLease)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }

    @Test
    fun `all sessions stay on the leader if they fit there`() {
        val clusterBelowThreshold =
            SimulatedCluster(72, nodeCount = 5, tuning = Tuning(spreadSessionsAt = 0.5, unneededS = 7200.0))
        val servingNodes = HashSet<SimulatedController>()
        clusterBelowThreshold.cloud.capacity = MACHINES
        clusterBelowThreshold.cloud.addRunning(GroupKey("box", "a", false), MACHINES) { 1.0 }
        clusterBelowThreshold.clock.after(30.0) {
            clusterBelowThreshold.onHeartbeatServed =
                { _, node -> servingNodes.add(node) }
        }
        clusterBelowThreshold.clock.runUntil(45.0)
        assertEquals(setOf(clusterBelowThreshold.nodes.first { it.isLeader }), servingNodes)
    }

    private fun injectFault(fault: String): SimulatedController {
        val currentLeader = leader()
        val busiestFollower = followers().maxBy(::workersServedBy)
        when (fault) {
            "a session's node ends" -> busiestFollower.crash(8.0)
            "it is frozen" -> busiestFollower.freeze(9.0)
            "it is cut from the leader" -> cutLink(busiestFollower.name, currentLeader.name, 15.0)
            "it is cut from the leader, frames held" -> cutLink(
                busiestFollower.name,
                currentLeader.name,
                15.0,
                LinkCut.HOLD,
            )
            "it is cut from the workers" -> cutLink(busiestFollower.name, "workers", 15.0)
            "it is cut from the store" -> cutLink(busiestFollower.name, "state", 20.0)
            "the leader ends" -> currentLeader.crash(8.0)
            "the leader and a session's node end" -> listOf(currentLeader, busiestFollower).forEach { it.crash(6.0) }
            "all controllers end" -> cluster.nodes.forEach { it.crash(2.0) }
            "frames are lost" -> applyFor(20.0, { cluster.faults.frameLoss = 0.05 }) { cluster.faults.frameLoss = 0.0 }
            "frames come twice and late" -> applyFor(30.0, { cluster.faults.lateFrameCopies = 0.5 }) {
                cluster.faults.lateFrameCopies =
                    0.0
            }
            "reports come twice and late" -> applyFor(30.0, { cluster.faults.lateHeartbeatCopies = 0.3 }) {
                cluster.faults.lateHeartbeatCopies =
                    0.0
            }
            "machines restart" -> cluster.cloud.workers.take(30).forEach { it.hang(16.0) }
            "a worker reports to two at once" -> sendHeartbeatsToAllNodes()
            "the leader and the store's answers" -> applyFor(20.0, {
                cluster.faults.lostCommitAnswers = 0.3
            }) { cluster.faults.lostCommitAnswers = 0.0 }.also { currentLeader.crash(3.0) }
            else -> error(fault)
        }
        return busiestFollower
    }

    private fun cutLink(node: String, target: String, durationS: Double, linkCut: LinkCut = LinkCut.DROP) {
        cluster.network.cutBoth(node, target, linkCut)
        cluster.clock.after(durationS) { cluster.network.healBoth(node, target) }
    }

    private fun applyFor(durationS: Double, start: () -> Unit, stop: () -> Unit) {
        start()
        cluster.clock.after(durationS, stop)
    }

    /** Sends one heartbeat of each of 60 workers to all running nodes at once, without waiting for the answers. */
    private fun sendHeartbeatsToAllNodes() = cluster.cloud.workers.take(60).forEach { worker ->
        val heartbeat = worker.heartbeat()
        cluster.nodes.filter {
            it.isUp
        }.forEach { node -> node.sendRequest({ Input.Heartbeat(it, heartbeat) }) { _, _ -> } }
    }

    @ParameterizedTest(name = "{0}, at most {1} tasks killed")
    @CsvSource(
        // The fault, and how many tasks may be killed by their lease: only those of machines that hang for longer.
        "'a session''s node ends', 0", "'it is frozen', 0", "'it is cut from the leader', 0",
        "'it is cut from the leader, frames held', 0",
        "'it is cut from the workers', 0", "'it is cut from the store', 0", "'the leader ends', 0",
        "'the leader and a session''s node end', 0",
        "'all controllers end', 0", "'frames are lost', 0", "'frames come twice and late', 0",
        "'reports come twice and late', 0",
        "'machines restart', 90", "'a worker reports to two at once', 0", "'the leader and the store''s answers', 0",
    )
    fun `a fault violates no rule, and sessions are spread and served again afterwards`(fault: String, maxKilled: Int) {
        cluster.clock.runUntil(50.0)
        assertSessionsSpread()
        val busiestFollower = injectFault(fault)
        cluster.clock.runUntil(51.0)
        if (fault.endsWith("ends") ||
            fault.endsWith("end")
        ) {
            assertTrue(cluster.nodes.any { !it.isUp }, "no node is down")
        }
        if (fault.startsWith("it is cut")) assertTrue(cluster.network.cutCount > 0 && busiestFollower.isUp)
        cluster.clock.runUntil(130.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertTrue(cluster.tasksKilledByLease <= maxKilled, "${cluster.tasksKilledByLease} tasks killed")
        assertAllServed(maxLost = if (maxKilled > 0) 30 else 0)
        assertSessionsSpread()
        if (fault.startsWith("frames")) {
            assertTrue(
                cluster.faults.counts.getOrDefault(
                    if (fault == "frames are lost") "frames lost" else "late frames",
                    0,
                ) >= 20,
                "${cluster.faults.counts}",
            )
        }
    }

    @ParameterizedTest(name = "batch of {0}, read is {2}")
    @CsvSource("'its own epoch', 0, true", "'an earlier epoch', -1, false", "'a later epoch', 1, false")
    fun `a leader reads only heartbeat batches of its own epoch`(name: String, offset: Long, isRead: Boolean) {
        cluster.clock.runUntil(50.0)
        val receiver = leader()
        var seq = 0L
        var epoch = 0L
        var answered = 0
        cluster.onEffect = { node, effect ->
            val message = (effect as? Effect.PeerSend)?.message
            if (node === receiver && message is PeerStatus) {
                seq = message.links!!.seq
                epoch = message.epochSeen
            }
            if (node === receiver && message is AnswerBatch) answered += message.answers.count { it.id == FORGED_ID }
        }
        cluster.clock.runUntil(52.0)
        val heartbeat = cluster.cloud.workers.first().heartbeat()
        receiver.onFrame(
            PeerCodec.write(
                HeartbeatBatch(
                    followers().first().name,
                    epoch + offset,
                    seq,
                    listOf(FullHeartbeat(FORGED_ID, "", heartbeat)),
                ),
            ),
        )
        assertEquals(if (isRead) 1 else 0, answered, name)
    }

    @ParameterizedTest(name = "{0} nodes of the previous version")
    @CsvSource("1", "4")
    fun `all workers are served while some or all peers are of the previous version`(previousVersionNodes: Int) {
        // Nodes of the previous version report no sessions, so they are given none. If all the other nodes are of that
        // version, all sessions are on the leader.
        cluster.nodes.drop(1).take(previousVersionNodes).forEach { cluster.faults.previousVersionNodes.add(it.name) }
        cluster.clock.runUntil(100.0)
        assertEquals(emptyList<String>(), cluster.checker.violations)
        assertEquals(0, cluster.tasksKilledByLease)
        assertAllServed()
    }

    private companion object {
        const val MACHINES = 300

        /** The request id of the heartbeat that a test puts into a batch of its own making. */
        const val FORGED_ID = 7L
    }
}
