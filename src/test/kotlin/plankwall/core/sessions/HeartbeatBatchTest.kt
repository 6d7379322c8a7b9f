package plankwall.core.sessions

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.statemachine.Context
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import plankwall.wire.AnswerBatch
import plankwall.wire.BatchedAnswer
import plankwall.wire.CancellationUpdate
import plankwall.wire.ExitCause
import plankwall.wire.FullHeartbeat
import plankwall.wire.HeartbeatBatch
import plankwall.wire.HeartbeatStatus
import plankwall.wire.MalformedMessageException
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage
import plankwall.wire.PeerStatus
import plankwall.wire.ReachabilityReport
import plankwall.wire.SessionPlan
import plankwall.wire.SessionShare
import plankwall.wire.SessionUpdate
import plankwall.wire.TaskStage
import plankwall.wire.TaskStatus
import plankwall.wire.UnchangedHeartbeat
import java.util.Random

/** Tests which heartbeats of a batch are sent as references to earlier ones, and that truncated frames are rejected. */
class HeartbeatBatchTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val batcher = HeartbeatBatcher(ctx, ReachabilityMatrix(ctx))
    private val leader = LeadershipClaim("n1", 5, 100.0)
    private val task = TaskStatus("job-000001", 3, 41, TaskStage.RUNNING, null, false)
    private val baseline = HeartbeatStatus("i-000001", "10.0.0.1:9", "box", "a", false, 2, 10, 5, null, listOf(task))

    /** Adds [heartbeat] for [recipient], and returns the form that it has in the batch that is due 0.3 s later. */
    private fun sendInBatch(heartbeat: HeartbeatStatus, id: Long, recipient: LeadershipClaim = leader) = batcher.run {
        add(id, recipient, "", heartbeat)
        ctx.time.advance(ctx.now + 0.3, 0)
        takeDue(recipient.epoch) { true }.single().heartbeats.single()
    }

    private fun changedHeartbeat(change: String): HeartbeatStatus = when (change) {
        "nothing" -> baseline.copy(seq = 11)
        "token" -> baseline.copy(seq = 11, token = 9)
        "session" -> baseline.copy(seq = 11, session = 3)
        "address" -> baseline.copy(seq = 11, address = "10.0.0.2:9")
        "stage" -> baseline.copy(seq = 11, tasks = listOf(task.copy(stage = TaskStage.SAVING)))
        "ended" -> baseline.copy(seq = 11, tasks = listOf(task.copy(stage = TaskStage.EXITED, cause = ExitCause.DONE)))
        "attempt" -> baseline.copy(seq = 11, tasks = listOf(task.copy(attempt = 42)))
        "one more" -> baseline.copy(seq = 11, tasks = listOf(task, task.copy(task = 4)))
        "one less" -> baseline.copy(seq = 11, tasks = emptyList())
        "notice" -> baseline.copy(seq = 11, noticeS = 30.0)
        else -> error(change)
    }

    @ParameterizedTest(name = "change of {0}: sent as a reference {1}")
    @CsvSource(
        "nothing,true", "token,true", "session,false", "address,false", "stage,false", "ended,false", "attempt,false",
        "one more,false", "one less,false", "notice,false",
    )
    fun `only a repeated heartbeat is sent as a reference, and the leader resolves it exactly`(
        change: String,
        asReference: Boolean,
    ) {
        val baselines = HeartbeatBaselines()
        baselines.resolve("n0", sendInBatch(baseline, 1))
        batcher.onAnswered(1, 5, baseline)
        val batched = sendInBatch(changedHeartbeat(change), 2)
        assertEquals(asReference, batched is UnchangedHeartbeat)
        assertEquals(changedHeartbeat(change), baselines.resolve("n0", batched))
    }

    @Test
    fun `no reference is sent before its baseline was answered, nor to another leader`() {
        sendInBatch(baseline, 1)
        assertEquals(true, sendInBatch(baseline.copy(seq = 11), 2) is FullHeartbeat)
        batcher.onAnswered(2, 5, baseline.copy(seq = 11))
        assertEquals(true, sendInBatch(baseline.copy(seq = 12), 3, LeadershipClaim("n2", 8, 100.0)) is FullHeartbeat)
        assertEquals(true, sendInBatch(baseline.copy(seq = 13), 4) is UnchangedHeartbeat)
    }

    @Test
    fun `a reference is resolved only to the very heartbeat that it names`() {
        val baselines = HeartbeatBaselines()
        val reference = UnchangedHeartbeat(9, "", baseline.machine, 1, 11, 5)
        assertNull(baselines.resolve("n0", reference), "the baseline was never received")
        baselines.resolve("n0", FullHeartbeat(1, "", baseline))
        assertEquals(11, baselines.resolve("n0", reference)?.seq)
        assertNull(baselines.resolve("n2", reference), "the baseline was received from another node")
        baselines.resolve("n0", FullHeartbeat(4, "", changedHeartbeat("ended")))
        assertNull(baselines.resolve("n0", reference), "the baseline was replaced since")
        baselines.resolve("n0", FullHeartbeat(1, "", baseline))
        assertNull(baselines.resolve("n0", reference), "a late copy replaces no baseline")
    }

    @Test
    fun `an unchanged heartbeat waits a little for others, a changed one does not, and timed out ones are dropped`() {
        batcher.add(1, leader, "", baseline)
        assertEquals(1, batcher.takeDue(5) { true }.size)
        batcher.onAnswered(1, 5, baseline)
        batcher.add(2, leader, "", baseline.copy(seq = 11))
        assertEquals(0, batcher.takeDue(5) { true }.size)
        batcher.add(3, leader, "", baseline.copy(machine = "i-000002"))
        assertEquals(listOf(3L), batcher.takeDue(5) { it == 3L }.single().heartbeats.map { it.id })
        batcher.add(4, leader, "", baseline)
        assertEquals(0, batcher.takeDue(6) { true }.size, "the heartbeat was added for another epoch")
    }

    @Test
    fun `many heartbeats are split over frames that are within the maximum size`() {
        val tasks = List(100) { task.copy(task = it) }
        repeat(40) { batcher.add(it.toLong(), leader, "", baseline.copy(machine = "i-%06d".format(it), tasks = tasks)) }
        val frames = batcher.takeDue(5) { true }
        assertEquals(40, frames.sumOf { it.heartbeats.size })
        frames.forEach { assertEquals(true, PeerCodec.write(it).size <= PeerCodec.MAX_FRAME) }
        assertEquals(true, frames.size in 2..20, "${frames.size} frames")
    }

    /** Guards against a batch that is too long for a frame because of long names: none of its heartbeats was sent. */
    @Test
    fun `heartbeats with the longest names are split over frames that are within the maximum size`() {
        val longestName = "x".repeat(200)
        val tasks = List(100) { task.copy(jobId = longestName, task = it) }
        val heartbeat = baseline.copy(machine = longestName, type = longestName, zone = longestName, tasks = tasks)
        repeat(12) { batcher.add(it.toLong(), leader, longestName, heartbeat) }
        val frames = batcher.takeDue(5) { true }
        assertEquals(12, frames.sumOf { it.heartbeats.size })
        frames.forEach { assertEquals(true, PeerCodec.write(it).size <= PeerCodec.MAX_FRAME) }
    }

    private fun messages(): List<PeerMessage> = listOf(
        HeartbeatBatch(
            "n0",
            5,
            77,
            listOf(FullHeartbeat(1, "10.0.0.1", baseline), UnchangedHeartbeat(2, "", "i-000002", 1, 12, 6)),
        ),
        AnswerBatch(
            "n1",
            5,
            listOf(BatchedAnswer(1, 200, byteArrayOf(1, 2)), BatchedAnswer(2, BatchedAnswer.RESEND, ByteArray(0))),
        ),
        PeerStatus(
            "n1", 1, 5, true, 0, true, 0, 2,
            ReachabilityReport(
                3,
                emptyMap(),
                emptyList(),
                0,
                0,
                emptyList(),
                null,
                null,
            ),
            CancellationUpdate(1, emptyList(), 0, 0),
            SessionUpdate(700, SessionPlan(5, mapOf("a" to listOf(SessionShare("n0", 3), SessionShare("n2", 4))))),
        ),
    )

    @Test
    fun `frames are read as they were written, and truncated ones are rejected`() {
        for (message in messages()) {
            val bytes = PeerCodec.write(message)
            assertEquals(message, PeerCodec.read(bytes))
            if (message is PeerStatus) continue
            for (size in 1 until bytes.size) {
                assertThrows(MalformedMessageException::class.java, {
                    PeerCodec.read(bytes.copyOf(size))
                }, "$size of ${bytes.size} bytes")
            }
        }
    }
}
