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

/** Frames on the peers' door that no peer has sent. */
class PeerFramesTest {
    private val key = PeerKey("2026-12", ByteArray(32) { it.toByte() })
    private val newKey = PeerKey("2027-01", ByteArray(32) { (it + 7).toByte() })
    private val now: Long = 1_700_000_000_000L

    private fun status(node: String, epoch: Long, leading: Boolean = false) =
        PeerStatus(node, 1, epoch, leading, 0, true, 0, PeerCodec.LEVEL)

    private fun world(keys: List<PeerKey>) = SimulatedCluster(7, 3, gatewaySettings = {
        Callers.settings(it, peerKeys = keys)
    })

    @ParameterizedTest(name = "signed links: {0}")
    @CsvSource("false", "true")
    fun `a forged status that names a high epoch makes a leader yield only where frames are not signed`(
        signed: Boolean,
    ) {
        val world = world(if (signed) listOf(key) else emptyList())
        world.clock.runUntil(10.0)
        val leader = world.nodes.single { it.isLeader }
        leader.onFrame(PeerCodec.write(status("n9", 1L shl 50)))
        assertEquals(signed, leader.isLeader, "the frame is believed by nobody but a node without keys")
    }

    @ParameterizedTest(name = "signed links: {0}")
    @CsvSource("false", "true")
    fun `forged words that peers follow prove older leaders silent only where frames are unsigned`(signed: Boolean) {
        val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1, Random(1)).apply {
            time.advance(1000.0, this@PeerFramesTest.now)
        }
        val leadership = Leadership(ctx, {}, {})
        win(ctx, leadership)
        val seal =
            PeerFrameSigner("n0", 1, if (signed) listOf(key) else emptyList(), allowUnsigned = false, toleranceMs = 100)
        val door = PeerAuthenticator(seal) { null }
        for (peer in listOf("n1", "n2")) {
            door.verify(PeerCodec.write(status(peer, leadership.epoch)), now)?.let {
                leadership.onPeerStatus(it as PeerStatus)
            }
        }
        val grace = leadership.electedAt + ctx.outageGraceS
        assertEquals(if (signed) grace else ctx.time.now, leadership.olderLeadersStoppedAt)
        if (signed) assertEquals(2L, seal.dropped)
    }

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
                    (op as StateOp.Txn).writes.any { w ->
                        (w as plankwall.wire.Write.Put).value is LeaderRecord
                    },
                )
            }
        }
        assertEquals(41L, leadership.epoch)
    }

    private fun seal(node: String = "n1", life: Long = 5, keys: List<PeerKey> = listOf(key)) =
        PeerFrameSigner(node, life, keys, false, 100)

    @Test
    fun `what is not believed`() {
        val onFrame = PeerCodec.write(status("n1", 5))
        fun open(bytes: ByteArray, at: Long = now, door: PeerAuthenticator = PeerAuthenticator(seal("n0")) { null }) =
            door.verify(bytes, at)
        val good = seal().sign(onFrame, now)
        assertNotNull(open(good))
        assertNull(open(onFrame), "not signed")
        assertNull(open(seal(keys = listOf(newKey)).sign(onFrame, now)), "signed by a key that is not known")
        assertNull(open(seal("n0").sign(onFrame, now)), "sent back to its sender")
        assertNull(open(seal("n2").sign(onFrame, now)), "one peer in another's name")
        val answer = PeerCodec.write(RelayedAnswer("n1", 7, 200, byteArrayOf(1)))
        assertNull(open(seal("n2").sign(answer, now)), "an answer to a worker in the leader's name")
        assertNotNull(open(seal().sign(answer, now)))
        assertNull(open(good, now + 11_000), "held back for long")
        assertNull(open(good, now - 1_000), "from the future")
        for (n in good.indices) {
            assertNull(
                open(
                    good.copyOf().also {
                        it[n] = (it[n].toInt() xor 4).toByte()
                    },
                ),
                "byte $n changed",
            )
        }
        for (n in good.indices) assertNull(open(good.copyOf(n)), "cut after $n")
    }

    @Test
    fun `a frame counts once, in order, also across a restart of its sender`() {
        val onFrame = PeerCodec.write(status("n1", 5))
        val door = PeerAuthenticator(seal("n0")) { null }
        val first = seal(life = 5)
        val frames = List(3) { first.sign(onFrame, now + it) }
        assertNotNull(door.verify(frames[1], now))
        assertNull(door.verify(frames[1], now), "again")
        assertNull(door.verify(frames[0], now), "an earlier one")
        assertNotNull(door.verify(frames[2], now))
        // A clock that was set back gives the new life a lower number; it must not be shut out for that.
        assertNotNull(door.verify(seal(life = 3).sign(onFrame, now + 50), now + 60))
        assertNull(door.verify(first.sign(onFrame, now + 40), now + 60), "the old life is over")
    }

    @Test
    fun `keys are replaced without a gap`() {
        val onFrame = PeerCodec.write(status("n1", 5))
        val steps = listOf(listOf(key), listOf(key, newKey), listOf(newKey, key), listOf(newKey))
        // At any time two nodes may be one step apart.
        for ((a, b) in steps.zipWithNext() + steps.zipWithNext { x, y -> y to x }) {
            assertNotNull(
                PeerAuthenticator(seal("n0", keys = b)) {
                    null
                }.verify(seal(keys = a).sign(onFrame, now), now),
            )
        }
        assertNull(
            PeerAuthenticator(seal("n0", keys = steps[3])) {
                null
            }.verify(seal(keys = steps[0]).sign(onFrame, now), now),
        )
    }

    @Test
    fun `a link from outside the peers' networks is not opened`() {
        val door = PeerAuthenticator(seal()) { Networks.of(listOf("10.0.0.0/24")) { error(it) } }
        assertEquals(
            listOf(true, false, false),
            listOf("10.0.0.7:4100", "10.0.1.7:4100", "127.0.0.1:4100").map {
                door.admits(it)
            },
        )
    }

    @Test
    fun `a site whose links are signed elects, works and replaces its leader`() {
        val world = world(listOf(key))
        val callers = Callers(world)
        world.clock.runUntil(3.0)
        callers.submit("ada", SimulatedCluster.job(1, team = "red", runS = 10.0))
        world.clock.runUntil(15.0)
        world.nodes.single { it.isLeader }.crash(5.0)
        world.clock.runUntil(80.0)
        assertEquals("done", callers.show("ada", "job-000001").also { world.clock.runUntil(81.0) }.stage)
        assertEquals(emptyList<String>(), world.checker.violations)
    }
}
