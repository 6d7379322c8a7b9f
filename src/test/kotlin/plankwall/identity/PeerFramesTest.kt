package plankwall.identity

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.election.Leadership
import plankwall.core.statemachine.Context
import plankwall.gateway.Callers
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import plankwall.wire.LeaderRecord
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus
import plankwall.wire.RelayedAnswer
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import java.util.Random

/**
 * Tests the authentication of frames between controllers: a frame that was forged, changed, replayed, delayed or sent
 * in another node's name must not be accepted as a message of a peer.
 */
class PeerFramesTest {
    private val key = PeerKey("2026-12", ByteArray(32) { it.toByte() })
    private val newKey = PeerKey("2027-01", ByteArray(32) { (it + 7).toByte() })
    private val now: Long = 1_700_000_000_000L

    private fun status(node: String, epoch: Long, leading: Boolean = false) =
        PeerStatus(node, 1, epoch, leading, 0, true, 0, PeerCodec.LEVEL)

    private fun clusterWithPeerKeys(keys: List<PeerKey>) = SimulatedCluster(7, 3, gatewaySettings = {
        Callers.settings(it, peerKeys = keys)
    })

    @ParameterizedTest(name = "frames are signed: {0}")
    @CsvSource("false", "true")
    fun `a forged status with a higher epoch makes a leader resign only if frames are not signed`(signed: Boolean) {
        val cluster = clusterWithPeerKeys(if (signed) listOf(key) else emptyList())
        cluster.clock.runUntil(10.0)
        val leader = cluster.nodes.single { it.isLeader }
        leader.onFrame(PeerCodec.write(status("n9", 1L shl 50)))
        assertEquals(signed, leader.isLeader, "only a node without peer keys accepts the unsigned frame")
    }

    @ParameterizedTest(name = "frames are signed: {0}")
    @CsvSource("false", "true")
    fun `forged statuses of all peers end the wait for older leaders only if frames are not signed`(signed: Boolean) {
        val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1, Random(1)).apply {
            time.advance(1000.0, this@PeerFramesTest.now)
        }
        val leadership = Leadership(ctx, {}, {})
        win(ctx, leadership)
        val frameSeal =
            PeerFrameSigner("n0", 1, if (signed) listOf(key) else emptyList(), allowUnsigned = false, toleranceMs = 100)
        val authenticator = PeerAuthenticator(frameSeal) { null }
        for (peer in listOf("n1", "n2")) {
            authenticator.verify(PeerCodec.write(status(peer, leadership.epoch)), now)?.let {
                leadership.onPeerStatus(it as PeerStatus)
            }
        }
        val graceEnd = leadership.electedAt + ctx.outageGraceS
        assertEquals(if (signed) graceEnd else ctx.time.now, leadership.olderLeadersStoppedAt)
        if (signed) assertEquals(2L, frameSeal.dropped)
    }

    /** Lets [leadership] win its election: answers its state service calls so that its epoch is 41. */
    private fun win(ctx: Context, leadership: Leadership) {
        fun answer(result: (StateOp) -> StateResult) =
            ctx.out.drain().filterIsInstance<plankwall.core.statemachine.Effect.StateCall>().forEach {
                ctx.out.resume(it.call, result(it.op))
            }
        leadership.tick()
        answer { StateResult.Item(null) }
        answer { StateResult.Granted(1) }
        answer { op ->
            StateResult.Committed(41).also {
                assertTrue(
                    (op as StateOp.Txn).writes.any { write ->
                        (write as plankwall.wire.Write.Put).value is LeaderRecord
                    },
                )
            }
        }
        assertEquals(41L, leadership.epoch)
    }

    /** Returns the seal of [node], which signs with the first of [keys]. */
    private fun seal(node: String = "n1", incarnation: Long = 5, keys: List<PeerKey> = listOf(key)) =
        PeerFrameSigner(node, incarnation, keys, false, 100)

    @Test
    fun `a frame is rejected if it is unsigned, changed, truncated, too old, early or in a wrong name`() {
        val statusFrame = PeerCodec.write(status("n1", 5))
        fun open(
            bytes: ByteArray,
            wallMs: Long = now,
            authenticator: PeerAuthenticator = PeerAuthenticator(seal("n0")) { null },
        ) = authenticator.verify(bytes, wallMs)
        val signedFrame = seal().sign(statusFrame, now)
        assertNotNull(open(signedFrame))
        assertNull(open(statusFrame), "not signed")
        assertNull(open(seal(keys = listOf(newKey)).sign(statusFrame, now)), "signed with an unknown key")
        assertNull(open(seal("n0").sign(statusFrame, now)), "reflected to its sender")
        assertNull(open(seal("n2").sign(statusFrame, now)), "a status sent by one peer in the name of another")
        val answer = PeerCodec.write(RelayedAnswer("n1", 7, 200, byteArrayOf(1)))
        assertNull(open(seal("n2").sign(answer, now)), "a relayed answer sent by one peer in the name of another")
        assertNotNull(open(seal().sign(answer, now)))
        assertNull(open(signedFrame, now + 11_000), "delivered too late")
        assertNull(open(signedFrame, now - 1_000), "from the future")
        for (n in signedFrame.indices) {
            assertNull(
                open(
                    signedFrame.copyOf().also {
                        it[n] = (it[n].toInt() xor 4).toByte()
                    },
                ),
                "byte $n changed",
            )
        }
        for (n in signedFrame.indices) assertNull(open(signedFrame.copyOf(n)), "truncated to length $n")
    }

    @Test
    fun `a replayed or reordered frame is rejected, also after its sender has restarted`() {
        val statusFrame = PeerCodec.write(status("n1", 5))
        val authenticator = PeerAuthenticator(seal("n0")) { null }
        val sealBeforeRestart = seal(incarnation = 5)
        val frames = List(3) { sealBeforeRestart.sign(statusFrame, now + it) }
        assertNotNull(authenticator.verify(frames[1], now))
        assertNull(authenticator.verify(frames[1], now), "a replayed frame")
        assertNull(authenticator.verify(frames[0], now), "a frame sent before an accepted one")
        assertNotNull(authenticator.verify(frames[2], now))
        // If the sender's clock was set back, its incarnation after the restart is lower. It must still be accepted.
        assertNotNull(authenticator.verify(seal(incarnation = 3).sign(statusFrame, now + 50), now + 60))
        assertNull(
            authenticator.verify(sealBeforeRestart.sign(statusFrame, now + 40), now + 60),
            "a frame from before the restart",
        )
    }

    @Test
    fun `frames are accepted throughout a key replacement while nodes are at most one step apart`() {
        val statusFrame = PeerCodec.write(status("n1", 5))
        val steps = listOf(listOf(key), listOf(key, newKey), listOf(newKey, key), listOf(newKey))
        // Two nodes may be one step apart at any time.
        for ((senderKeys, receiverKeys) in steps.zipWithNext() + steps.zipWithNext { old, new -> new to old }) {
            assertNotNull(
                PeerAuthenticator(seal("n0", keys = receiverKeys)) { null }
                    .verify(seal(keys = senderKeys).sign(statusFrame, now), now),
            )
        }
        assertNull(
            PeerAuthenticator(seal("n0", keys = steps[3])) {
                null
            }.verify(seal(keys = steps[0]).sign(statusFrame, now), now),
        )
    }

    @Test
    fun `a connection from outside the peers' networks is not admitted`() {
        val authenticator = PeerAuthenticator(seal()) { Networks.of(listOf("10.0.0.0/24")) { error(it) } }
        assertEquals(
            listOf(true, false, false),
            listOf("10.0.0.7:4100", "10.0.1.7:4100", "127.0.0.1:4100").map {
                authenticator.admits(it)
            },
        )
    }

    @Test
    fun `a cluster with signed frames elects a leader, runs a job and replaces a crashed leader`() {
        val cluster = clusterWithPeerKeys(listOf(key))
        val callers = Callers(cluster)
        cluster.clock.runUntil(3.0)
        callers.submit("ada", SimulatedCluster.job(1, team = "red", runS = 10.0))
        cluster.clock.runUntil(15.0)
        cluster.nodes.single { it.isLeader }.crash(5.0)
        cluster.clock.runUntil(80.0)
        assertEquals("done", callers.show("ada", "job-000001").also { cluster.clock.runUntil(81.0) }.stage)
        assertEquals(emptyList<String>(), cluster.checker.violations)
    }
}
