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

/** Tests how a node that does not lead answers workers: it redirects them, relays their heartbeats or rejects them. */
class WorkerRelayTest {
    private val ctx = Context(SimulatedCluster.settings("n0", 3), Tuning(), 1000, Random(1)).apply {
        time.advance(100.0, 0)
    }
    private val reachability = ReachabilityMatrix(ctx)
    private val routing = LeaderRouting(ctx, reachability, 2.5)
    private val relay = WorkerRelay(ctx, reachability, routing)
    private var requestCount = 0L
    private var lastHeartbeatId = 0L

    /**
     * Receives a status of n1, which leads as [epoch]. It knows [known] machines in zone a, of which [late] do not
     * reach it directly. [plan]: how it spreads the workers' sessions.
     */
    private fun receiveLeaderStatus(epoch: Long, late: Int, known: Int = 40, plan: SessionPlan? = null) {
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

    /** Returns the effects since the last call as text, separated by spaces. */
    private fun drainEffects(): String = ctx.out.drain().joinToString(" ") {
        when (it) {
            is Effect.Answer -> "${it.status}"
            is Effect.PeerSend -> when (val message = it.message) {
                is RelayedHeartbeat -> "to:${it.to}".also { lastHeartbeatId = message.id }
                is HeartbeatBatch -> {
                    lastHeartbeatId = message.heartbeats.last().id
                    "batch:${it.to}:${message.epoch}:${message.heartbeats.joinToString(",", transform = ::kindOf)}"
                }
                else -> error("$message")
            }
            is Effect.WorkerPost -> "probe:${it.machine.removePrefix("i-")}"
            else -> error("$it")
        }
    }

    private fun kindOf(heartbeat: BatchedHeartbeat) = if (heartbeat is FullHeartbeat) "full" else "unchanged"

    /**
     * Receives a status of n1, which leads as epoch `fields[1]` and spreads the sessions of zone a to node `fields[2]`.
     */
    private fun receiveSessionPlan(fields: List<String>) = fields[1].toLong().let { epoch ->
        receiveLeaderStatus(epoch, 0, plan = SessionPlan(epoch, mapOf("a" to listOf(SessionShare(fields[2], 1)))))
    }

    /**
     * Receives an answer batch from node `fields[1]` as epoch `fields[2]`, with the status `fields[3]` for the last
     * heartbeat that was sent, or for the one whose id differs from its id by `fields[4]`.
     */
    private fun receiveAnswerBatch(fields: List<String>) {
        val id = lastHeartbeatId + (fields.getOrNull(4)?.toLong() ?: 0)
        val answer = BatchedAnswer(id, fields[3].toInt(), byteArrayOf(1))
        relay.onAnswer(AnswerBatch(fields[1], fields[2].toLong(), listOf(answer)))
    }

    /**
     * Applies one event and returns its effects, or `-` if it has none. The events:
     * - `wN`: the worker wN sends a heartbeat
     * - `+SECONDS`: time passes, then the relay's tick runs
     * - `leads:EPOCH:LATE` and `leads:EPOCH:LATE:KNOWN`: n1 sends a status ([receiveLeaderStatus])
     * - `spreads:EPOCH:NODE`: n1 sends a plan that assigns all sessions of zone a to the node
     * - `answer:NODE:STATUS`: the node answers the last relayed heartbeat
     * - `batch:NODE:EPOCH:STATUS` and `batch:NODE:EPOCH:STATUS:ID_OFFSET`: the node answers in a batch
     * ([receiveAnswerBatch])
     * - `lead`: this node becomes leader
     * - `reached:wN`: the worker wN answers a direct command
     * - `unserved`: returns the number of unserved workers
     */
    private fun applyEvent(event: String): String {
        when {
            event.startsWith("w") -> relay.onHeartbeat(
                Input.Heartbeat(
                    RequestId(++requestCount),
                    HeartbeatStatus("i-$event", "x", "box", "a", false, 1, requestCount, 0, null, emptyList()),
                ),
            )
            event.startsWith("+") -> {
                ctx.time.advance(ctx.now + event.drop(1).toDouble(), 0)
                relay.tick()
            }
            event.startsWith("spreads:") -> receiveSessionPlan(event.split(':'))
            event.startsWith("batch") -> receiveAnswerBatch(event.split(':'))
            event.startsWith("leads:") -> event.split(':').let {
                receiveLeaderStatus(it[1].toLong(), it[2].toInt(), it.getOrNull(3)?.toInt() ?: 40)
            }
            event.startsWith("answer") -> event.split(':').let {
                relay.onAnswer(RelayedAnswer(it[1], lastHeartbeatId, it[2].toInt(), byteArrayOf(1)))
            }
            event == "lead" -> relay.onLeadershipGained()
            event.startsWith("reached:") -> relay.onCommandAnswered("i-${event.drop(8)}")
            event == "unserved" -> return "${relay.unservedWorkerCount}"
            else -> error(event)
        }
        return drainEffects().ifEmpty { "-" }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // name, events, the effects of each: statuses that workers are answered with, messages to nodes, probes
        "'a worker is rejected while no leader is known', 'w1', '503'",
        "'a worker is redirected to a leader that all workers reach', 'leads:5:0 w1', '- 421'",
        "'a redirected worker that comes back can''t reach the leader and is relayed', 'leads:5:0 w1 +2 leads:5:0 w1 answer:n1:200', '- 421 probe:w1 - to:n1 200'",
        "'a relayed worker stays relayed until the leader calls it back', 'leads:5:0 w1 +2 w1 answer:n1:200 +3 leads:5:0 w1 answer:n1:421', '- 421 probe:w1 to:n1 200 - - to:n1 421'",
        "'a worker that comes back after its lease expired is redirected anew', 'leads:5:0 w1 +20 leads:5:0 w1', '- 421 - - 421'",
        "'a worker that comes back when another node leads is redirected there once', 'leads:5:0 w1 +2 leads:9:0 w1', '- 421 probe:w1 - 421'",
        "'a worker is relayed when the leader misses more than half of its zone', 'leads:5:21 w1', '- to:n1'",
        "'a worker is redirected when the leader misses half of its zone, whose machines may have died', 'leads:5:20 w1', '- 421'",
        // Two workers are redirected as scouts. The others are relayed until one scout has reached the leader.
        "'two scouts are redirected first to a new leader that no worker has reached yet', 'leads:5:0:0 w1 w2 w3 answer:n1:200 leads:5:0:2 w3 w4', '- 421 421 to:n1 200 - 421 421'",
        // Late, forged or repeated answers are dropped.
        "'an answer after the timeout is dropped', 'leads:5:40 w1 +1.6 answer:n1:200', '- to:n1 503 probe:w1 -'",
        "'an answer from another node is dropped', 'leads:5:40 w1 answer:n2:200 answer:n1:200', '- to:n1 - 200'",
        "'a repeated answer is dropped', 'leads:5:40 w1 answer:n1:200 answer:n1:200', '- to:n1 200 -'",
        "'an answer after this node was elected is dropped', 'leads:5:40 w1 lead answer:n1:200', '- to:n1 503 -'",
        // This node has lost its link to the leader too: the worker gets 503, and after a while another redirect.
        "'a worker that comes back is rejected when the leader is not connected to this node either', 'leads:5:0 w1 +5 w1', '- 421 - 503'",
        // Where sessions are spread, heartbeats are relayed in batches whichever node serves the worker. The leader
        // decides which node that is.
        "'the heartbeat of a worker whose session is served here is relayed in a batch', 'spreads:5:n0 w1 +0.1 batch:n1:5:200', '- - batch:n1:5:full 200'",
        "'an unchanged heartbeat waits a little and is sent as a reference, each time to the same full heartbeat', 'spreads:5:n0 w1 +0.1 batch:n1:5:200 w1 +0.1 +0.15 batch:n1:5:200 w1 +0.25 batch:n1:5:200', '- - batch:n1:5:full 200 - - batch:n1:5:unchanged 200 - batch:n1:5:unchanged 200'",
        "'a heartbeat whose baseline the leader does not have is sent in full, and the worker is answered once', 'spreads:5:n0 w1 +0.1 batch:n1:5:200 w1 +0.25 batch:n1:5:0 +0.1 batch:n1:5:200 batch:n1:5:200', '- - batch:n1:5:full 200 - batch:n1:5:unchanged - batch:n1:5:full 200 -'",
        "'the heartbeats of two workers share one frame', 'spreads:5:n0 w1 w2 +0.1', '- - - batch:n1:5:full,full'",
        "'the leader redirects a worker whose session is assigned to another node', 'spreads:5:n2 w1 +0.1 batch:n1:5:421', '- - batch:n1:5:full 421'",
        "'a batch of answers from another node or of another epoch is dropped', 'spreads:5:n0 w1 +0.1 batch:n2:5:200 batch:n1:4:200 batch:n1:6:200 batch:n1:5:200', '- - batch:n1:5:full - - - 200'",
        "'an answer to another heartbeat is dropped', 'spreads:5:n0 w1 +0.1 batch:n1:5:200:1 batch:n1:5:200:-1 batch:n1:5:200', '- - batch:n1:5:full - - 200'",
        "'a heartbeat collected for one leader is not sent to the next', 'spreads:5:n0 w1 spreads:9:n0 +0.1 w2 +0.1', '- - - - - batch:n1:9:full'",
        "'the heartbeats of a batch not yet sent are rejected when this node is elected', 'spreads:5:n0 w1 lead +0.1', '- - 503 -'",
        // Workers count as unserved only if this node could serve them: a worker that no answer reaches goes round all
        // nodes too.
        "'workers that answer a command count as unserved', 'w1 w2 +0.1 reached:w1 reached:w2 unserved', '503 503 probe:w1 probe:w2 - - 2'",
        "'workers that answer no command do not count as unserved', 'w1 w2 +0.1 +1.5 unserved', '503 503 probe:w1 probe:w2 - 0'",
        "'no worker counts as unserved before its probe has timed out', 'w1 w2 +0.1 unserved', '503 503 probe:w1 probe:w2 0'",
        "'half of all workers count as unserved when one in two answers', 'w1 w2 w3 w4 +0.1 reached:w1 reached:w3 +1.5 unserved', '503 503 503 503 probe:w1 probe:w2 probe:w3 probe:w4 - - - 2'",
        "'a worker that was served since does not count as unserved', 'leads:5:40 w1 +0.1 reached:w1 answer:n1:200 unserved', '- to:n1 probe:w1 - 200 0'",
        "'eight workers are probed per second, and the others count by that sample', 'w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 +0.1 reached:w1 reached:w2 +1 unserved', '503 503 503 503 503 503 503 503 503 503 probe:w1 probe:w2 probe:w3 probe:w4 probe:w5 probe:w6 probe:w7 probe:w8 - - probe:w9 probe:w10 2'",
    )
    fun `a node that does not lead redirects, relays or rejects a heartbeat`(
        name: String,
        events: String,
        expected: String,
    ) {
        assertEquals(expected, events.split(' ').joinToString(" ") { applyEvent(it) }, name)
    }

    @Test
    fun `a worker is redirected at once when no more heartbeats can be relayed`() {
        applyEvent("spreads:5:n2")
        val answers = (1..1000).map { applyEvent("w$it") }
        assertEquals(ctx.settings.maxConnections / 4, answers.count { it == "-" })
        assertEquals(750, answers.count { it == "421" })
    }

    @Test
    fun `heartbeats beyond the limit of those that wait for the leader are answered at once`() {
        receiveLeaderStatus(5, 40)
        val answers = (1..1000).map { applyEvent("w$it") }
        val relayed = answers.count { it == "to:n1" }
        assertTrue(relayed in 16..400 && relayed <= ctx.settings.maxConnections / 4, "$relayed heartbeats wait")
        assertEquals(1000 - relayed, answers.count { it == "421" || it == "503" })
    }
}
