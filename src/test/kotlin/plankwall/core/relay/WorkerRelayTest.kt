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

/** How a node that does not lead answers workers, step by step. */
class WorkerRelayTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val reachability = ReachabilityMatrix(ctx)
    private val routing = LeaderRouting(ctx, reachability, 2.5)
    private val relay = WorkerRelay(ctx, reachability, routing)
    private var requests = 0L
    private var lastId = 0L

    /** n1 leads as [epoch]; [late] of its 40 machines in zone a do not reach it directly. */
    private fun leads(epoch: Long, late: Int, known: Int = 40, plan: SessionPlan? = null) {
        val echo = reachability.createReport(0, null, null).seq
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

    private fun drainEffects(): String = ctx.out.drain().joinToString(" ") {
        when (it) {
            is Effect.Answer -> "${it.status}"
            is Effect.PeerSend -> when (val message = it.message) {
                is RelayedHeartbeat -> "to:${it.to}".also { lastId = message.id }
                is HeartbeatBatch -> {
                    lastId = message.heartbeats.last().id
                    "batch:${it.to}:${message.epoch}:${message.heartbeats.joinToString(",", transform = ::kind)}"
                }
                else -> error("$message")
            }
            is Effect.WorkerPost -> "probe:${it.machine.removePrefix("i-")}"
            else -> error("$it")
        }
    }

    private fun kind(sent: BatchedHeartbeat) = if (sent is FullHeartbeat) "full" else "unchanged"

    /** n1 leads as epoch `words[1]`, and spreads the sessions of zone a to node `words[2]`. */
    private fun spreads(words: List<String>) = words[1].toLong().let { epoch ->
        leads(epoch, 0, plan = SessionPlan(epoch, mapOf("a" to listOf(SessionShare(words[2], 1)))))
    }

    private fun answers(words: List<String>) {
        val id = lastId + (words.getOrNull(4)?.toLong() ?: 0)
        val answer = BatchedAnswer(id, words[3].toInt(), byteArrayOf(1))
        relay.onAnswer(AnswerBatch(words[1], words[2].toLong(), listOf(answer)))
    }

    private fun step(word: String): String {
        when {
            word.startsWith("w") -> relay.onHeartbeat(
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
                leads(it[1].toLong(), it[2].toInt(), it.getOrNull(3)?.toInt() ?: 40)
            }
            word.startsWith("answer") -> word.split(':').let {
                relay.onAnswer(RelayedAnswer(it[1], lastId, it[2].toInt(), byteArrayOf(1)))
            }
            word == "lead" -> relay.onLeadershipGained()
            word.startsWith("reached:") -> relay.onCommandAnswered("i-${word.drop(8)}")
            word == "unserved" -> return "${relay.unservedWorkerCount}"
            else -> error(word)
        }
        return drainEffects().ifEmpty { "-" }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, events, for each what the worker is answered or the leader is sent
        "'no leader is known', 'w1', '503'",
        "'a leader that all reach', 'leads:5:0 w1', '- 421'",
        "'redirected, and back: it can''t get there', 'leads:5:0 w1 +2 leads:5:0 w1 answer:n1:200', '- 421 probe:w1 - to:n1 200'",
        "'once relayed, always relayed until it is called back', 'leads:5:0 w1 +2 w1 answer:n1:200 +3 leads:5:0 w1 answer:n1:421', '- 421 probe:w1 to:n1 200 - - to:n1 421'",
        "'back long after: its lease has expired, it starts anew', 'leads:5:0 w1 +20 leads:5:0 w1', '- 421 - - 421'",
        "'back, but another leads: one try there', 'leads:5:0 w1 +2 leads:9:0 w1', '- 421 probe:w1 - 421'",
        "'more than half of its zone is missed', 'leads:5:21 w1', '- to:n1'",
        "'many machines died, the others are redirected', 'leads:5:20 w1', '- 421'",
        // Two scouts, the others wait until one of them has arrived.
        "'a new leader, no worker has reached it yet', 'leads:5:0:0 w1 w2 w3 answer:n1:200 leads:5:0:2 w3 w4', '- 421 421 to:n1 200 - 421 421'",
        // Late, forged or repeated answers are dropped.
        "'no answer in time, and then one', 'leads:5:40 w1 +1.6 answer:n1:200', '- to:n1 503 probe:w1 -'",
        "'an answer by another node', 'leads:5:40 w1 answer:n2:200 answer:n1:200', '- to:n1 - 200'",
        "'the same answer twice', 'leads:5:40 w1 answer:n1:200 answer:n1:200', '- to:n1 200 -'",
        "'this node is elected meanwhile', 'leads:5:40 w1 lead answer:n1:200', '- to:n1 503 -'",
        // The link to the leader is gone too: 503, and after a while another redirect.
        "'the leader is no longer connected', 'leads:5:0 w1 +5 w1', '- 421 - 503'",
        // Sessions spread: heartbeats go in batches, whichever node serves the worker; the leader decides which that
        // is.
        "'its session is served here', 'spreads:5:n0 w1 +0.1 batch:n1:5:200', '- - batch:n1:5:full 200'",
        "'unchanged: a reference, which waits a little, each time to the same full heartbeat', 'spreads:5:n0 w1 +0.1 batch:n1:5:200 w1 +0.1 +0.15 batch:n1:5:200 w1 +0.25 batch:n1:5:200', '- - batch:n1:5:full 200 - - batch:n1:5:unchanged 200 - batch:n1:5:unchanged 200'",
        "'the leader does not have it: in full, and the worker is answered once', 'spreads:5:n0 w1 +0.1 batch:n1:5:200 w1 +0.25 batch:n1:5:0 +0.1 batch:n1:5:200 batch:n1:5:200', '- - batch:n1:5:full 200 - batch:n1:5:unchanged - batch:n1:5:full 200 -'",
        "'two workers, one frame', 'spreads:5:n0 w1 w2 +0.1', '- - - batch:n1:5:full,full'",
        "'it is assigned elsewhere: the leader redirects it', 'spreads:5:n2 w1 +0.1 batch:n1:5:421', '- - batch:n1:5:full 421'",
        "'an answer by another node, or of another epoch', 'spreads:5:n0 w1 +0.1 batch:n2:5:200 batch:n1:4:200 batch:n1:6:200 batch:n1:5:200', '- - batch:n1:5:full - - - 200'",
        "'an answer to another heartbeat', 'spreads:5:n0 w1 +0.1 batch:n1:5:200:1 batch:n1:5:200:-1 batch:n1:5:200', '- - batch:n1:5:full - - 200'",
        "'collected for one leader, another leads', 'spreads:5:n0 w1 spreads:9:n0 +0.1 w2 +0.1', '- - - - - batch:n1:9:full'",
        "'this node is elected with a batch not sent', 'spreads:5:n0 w1 lead +0.1', '- - 503 -'",
        // Unserved workers count as far as this node could serve them: one that no answer reaches goes round all nodes
        // too.
        "'those that answer a command count', 'w1 w2 +0.1 reached:w1 reached:w2 unserved', '503 503 probe:w1 probe:w2 - - 2'",
        "'those that answer none do not', 'w1 w2 +0.1 +1.5 unserved', '503 503 probe:w1 probe:w2 - 0'",
        "'nor any before its probe has timed out', 'w1 w2 +0.1 unserved', '503 503 probe:w1 probe:w2 0'",
        "'one in two reached: half of all', 'w1 w2 w3 w4 +0.1 reached:w1 reached:w3 +1.5 unserved', '503 503 503 503 probe:w1 probe:w2 probe:w3 probe:w4 - - - 2'",
        "'served since: not counted', 'leads:5:40 w1 +0.1 reached:w1 answer:n1:200 unserved', '- to:n1 probe:w1 - 200 0'",
        "'eight probes a second, the rest by the sample', 'w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 +0.1 reached:w1 reached:w2 +1 unserved', '503 503 503 503 503 503 503 503 503 503 probe:w1 probe:w2 probe:w3 probe:w4 probe:w5 probe:w6 probe:w7 probe:w8 - - probe:w9 probe:w10 2'",
    )
    fun `redirects, relays or rejects a heartbeat`(name: String, steps: String, expected: String) {
        assertEquals(expected, steps.split(' ').joinToString(" ") { step(it) }, name)
    }

    @Test
    fun `where no more heartbeats can be relayed a worker is redirected at once`() {
        step("spreads:5:n2")
        val answers = (1..1000).map { step("w$it") }
        assertEquals(ctx.settings.maxConnections / 4, answers.count { it == "-" })
        assertEquals(750, answers.count { it == "421" })
    }

    @Test
    fun `no more heartbeats wait for an answer than the bound, the rest is answered at once`() {
        leads(5, 40)
        val answers = (1..1000).map { step("w$it") }
        val relayed = answers.count { it == "to:n1" }
        assertTrue(relayed in 16..400 && relayed <= ctx.settings.maxConnections / 4, "$relayed wait")
        assertEquals(1000 - relayed, answers.count { it == "421" || it == "503" })
    }
}
