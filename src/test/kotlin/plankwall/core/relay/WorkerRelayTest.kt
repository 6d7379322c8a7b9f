package plankwall.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plankwall.core.connectivity.LeaderRouting
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.model.Tuning
import plankwall.simulation.SimulatedCluster
import plankwall.wire.AnswerBatch
import plankwall.wire.BatchedAnswer
import plankwall.wire.BatchedHeartbeat
import plankwall.wire.FullHeartbeat
import plankwall.wire.HeartbeatBatch
import plankwall.wire.HeartbeatStatus
import plankwall.wire.PeerStatus
import plankwall.wire.ReachabilityReport
import plankwall.wire.RelayedAnswer
import plankwall.wire.RelayedHeartbeat
import plankwall.wire.SessionPlan
import plankwall.wire.SessionShare
import plankwall.wire.SessionUpdate
import plankwall.wire.ZoneReach
import java.util.Random

/** What a node that does not lead tells a worker, step by step. */
class WorkerRelayTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val reachability = ReachabilityMatrix(ctx)
    private val routing = LeaderRouting(ctx, reachability, 2.5)
    private val relay = WorkerRelay(ctx, reachability, routing)
    private var requests = 0L
    private var lastId = 0L

    /** n1 leads as [epoch]; [late] of its 40 machines in zone a do not come to it straight. */
    private fun leads(epoch: Long, late: Int, known: Int = 40, plan: SessionPlan? = null) {
        val echo = reachability.report(0, null, null).seq
        val links =
            ReachabilityReport(
                echo,
                mapOf("n0" to echo),
                emptyList(),
                0,
                0,
                listOf(ZoneReach("a", known, late)),
                null,
                null,
            )
        routing.onEpoch(epoch)
        reachability.onStatus(PeerStatus("n1", 1, epoch, true, 0, true, 0, 2, links, null, SessionUpdate(100, plan)))
    }

    private fun told(): String = ctx.out.drain().joinToString(" ") {
        when (it) {
            is Effect.Answer -> "${it.status}"
            is Effect.PeerSend -> when (val m = it.message) {
                is RelayedHeartbeat -> "to:${it.to}".also { lastId = m.id }
                is HeartbeatBatch -> "batch:${it.to}:${m.epoch}:${m.reports.joinToString(
                    ",",
                    transform = ::kind,
                )}".also {
                    lastId =
                        m.reports.last().id
                }
                else -> error("$m")
            }
            is Effect.WorkerPost -> "try:${it.machine.removePrefix("i-")}"
            else -> error("$it")
        }
    }

    private fun kind(sent: BatchedHeartbeat) = if (sent is FullHeartbeat) "whole" else "mark"

    /** As epoch `w[1]`, with the sessions of zone a at node `w[2]`. */
    private fun spreads(w: List<String>) = leads(
        w[1].toLong(),
        0,
        plan = SessionPlan(
            w[1].toLong(),
            mapOf(
                "a" to listOf(SessionShare(w[2], 1)),
            ),
        ),
    )

    private fun answers(w: List<String>) = relay.onAnswer(
        AnswerBatch(
            w[1],
            w[2].toLong(),
            listOf(
                BatchedAnswer(
                    lastId + (w.getOrNull(4)?.toLong() ?: 0),
                    w[3].toInt(),
                    byteArrayOf(1),
                ),
            ),
        ),
    )

    private fun step(word: String): String {
        when {
            word.startsWith(
                "w",
            ) -> relay.onHeartbeat(
                Input.Heartbeat(
                    RequestId(++requests),
                    HeartbeatStatus("i-$word", "x", "box", "a", false, 1, requests, 0, null, emptyList()),
                ),
            )
            word.startsWith("+") -> {
                ctx.time.advance(ctx.now + word.drop(1).toDouble(), 0)
                relay.tick()
            }
            word.startsWith("spreads:") -> spreads(word.split(':'))
            word.startsWith("batch") -> answers(word.split(':'))
            word.startsWith("leads:") -> word.split(':').let {
                leads(
                    it[1].toLong(),
                    it[2].toInt(),
                    it.getOrNull(3)?.toInt() ?: 40,
                )
            }
            word.startsWith("answer") -> word.split(':').let {
                relay.onAnswer(RelayedAnswer(it[1], lastId, it[2].toInt(), byteArrayOf(1)))
            }
            word == "lead" -> relay.onLeadershipGained()
            word.startsWith("reached:") -> relay.onCommandAnswered("i-${word.drop(8)}")
            word == "strays" -> return "${relay.unservedWorkers}"
            else -> error(word)
        }
        return told().ifEmpty { "-" }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, what happens, what the worker is told or the leader is sent for each step
        "'nobody is known', 'w1', '503'",
        "'a sound leader', 'leads:5:0 w1', '- 421'",
        "'sent, and back: it can''t get there', 'leads:5:0 w1 +2 leads:5:0 w1 answer:n1:200', '- 421 try:w1 - to:n1 200'",
        "'once through, always through until it is called', 'leads:5:0 w1 +2 w1 answer:n1:200 +3 leads:5:0 w1 answer:n1:421', '- 421 try:w1 to:n1 200 - - to:n1 421'",
        "'back long after: its lease is over, it starts anew', 'leads:5:0 w1 +20 leads:5:0 w1', '- 421 - - 421'",
        "'back, but another leads: one try there', 'leads:5:0 w1 +2 leads:9:0 w1', '- 421 try:w1 - 421'",
        "'more than half of its zone is missed', 'leads:5:21 w1', '- to:n1'",
        "'a wave of machines died, the others come', 'leads:5:20 w1', '- 421'",
        // Two scouts, the others wait until one of them has arrived.
        "'a new leader, nobody has come yet', 'leads:5:0:0 w1 w2 w3 answer:n1:200 leads:5:0:2 w3 w4', '- 421 421 to:n1 200 - 421 421'",
        // Late, forged or repeated answers go to nobody.
        "'no answer in time, and then one', 'leads:5:40 w1 +1.6 answer:n1:200', '- to:n1 503 try:w1 -'",
        "'an answer by somebody else', 'leads:5:40 w1 answer:n2:200 answer:n1:200', '- to:n1 - 200'",
        "'the same answer twice', 'leads:5:40 w1 answer:n1:200 answer:n1:200', '- to:n1 200 -'",
        "'this node wins meanwhile', 'leads:5:40 w1 lead answer:n1:200', '- to:n1 503 -'",
        // The link to the leader is gone too: 503, and after a while another try.
        "'nothing heard of the leader any more', 'leads:5:0 w1 +5 w1', '- 421 - 503'",
        // Sessions spread: reports go in batches, whoever serves the worker; the leader says where it belongs.
        "'its session is served here', 'spreads:5:n0 w1 +0.1 batch:n1:5:200', '- - batch:n1:5:whole 200'",
        "'unchanged: a mark, which waits a little, each time against the same whole report', 'spreads:5:n0 w1 +0.1 batch:n1:5:200 w1 +0.1 +0.15 batch:n1:5:200 w1 +0.25 batch:n1:5:200', '- - batch:n1:5:whole 200 - - batch:n1:5:mark 200 - batch:n1:5:mark 200'",
        "'the leader does not have it: whole, and the worker is told once', 'spreads:5:n0 w1 +0.1 batch:n1:5:200 w1 +0.25 batch:n1:5:0 +0.1 batch:n1:5:200 batch:n1:5:200', '- - batch:n1:5:whole 200 - batch:n1:5:mark - batch:n1:5:whole 200 -'",
        "'two workers, one frame', 'spreads:5:n0 w1 w2 +0.1', '- - - batch:n1:5:whole,whole'",
        "'it belongs elsewhere: the leader says so', 'spreads:5:n2 w1 +0.1 batch:n1:5:421', '- - batch:n1:5:whole 421'",
        "'an answer by another node, or of another epoch', 'spreads:5:n0 w1 +0.1 batch:n2:5:200 batch:n1:4:200 batch:n1:6:200 batch:n1:5:200', '- - batch:n1:5:whole - - - 200'",
        "'an answer to another report', 'spreads:5:n0 w1 +0.1 batch:n1:5:200:1 batch:n1:5:200:-1 batch:n1:5:200', '- - batch:n1:5:whole - - 200'",
        "'collected for one leader, another leads', 'spreads:5:n0 w1 spreads:9:n0 +0.1 w2 +0.1', '- - - - - batch:n1:9:whole'",
        "'this node wins with a batch not sent', 'spreads:5:n0 w1 lead +0.1', '- - 503 -'",
        // Strays are told to the leader as far as this node could serve them: one that hears nobody's answers goes
        // round all nodes too.
        "'those that a command reaches count', 'w1 w2 +0.1 reached:w1 reached:w2 strays', '503 503 try:w1 try:w2 - - 2'",
        "'none that hears nobody', 'w1 w2 +0.1 +1.5 strays', '503 503 try:w1 try:w2 - 0'",
        "'nor before any try had its time', 'w1 w2 +0.1 strays', '503 503 try:w1 try:w2 0'",
        "'one in two reached: half of all', 'w1 w2 w3 w4 +0.1 reached:w1 reached:w3 +1.5 strays', '503 503 503 503 try:w1 try:w2 try:w3 try:w4 - - - 2'",
        "'served since: no stray', 'leads:5:40 w1 +0.1 reached:w1 answer:n1:200 strays', '- to:n1 try:w1 - 200 0'",
        "'eight tries a second, the rest by the sample', 'w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 +0.1 reached:w1 reached:w2 +1 strays', '503 503 503 503 503 503 503 503 503 503 try:w1 try:w2 try:w3 try:w4 try:w5 try:w6 try:w7 try:w8 - - try:w9 try:w10 2'",
    )
    fun `where a worker is sent`(name: String, steps: String, expected: String) {
        assertEquals(expected, steps.split(' ').joinToString(" ") { step(it) }, name)
    }

    @Test
    fun `where no more reports can wait a worker is told at once where it belongs`() {
        step("spreads:5:n2")
        val answers = (1..1000).map { step("w$it") }
        assertEquals(ctx.settings.maxConnections / 4, answers.count { it == "-" })
        assertEquals(750, answers.count { it == "421" })
    }

    @Test
    fun `no more reports wait for an answer than the bound, the rest is told at once`() {
        leads(5, 40)
        val answers = (1..1000).map { step("w$it") }
        val passedOn = answers.count { it == "to:n1" }
        assertTrue(passedOn in 16..400 && passedOn <= ctx.settings.maxConnections / 4, "$passedOn wait")
        assertEquals(1000 - passedOn, answers.count { it == "421" || it == "503" })
    }
}
