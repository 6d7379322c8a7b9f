package plankwall.core.relay

import org.slf4j.LoggerFactory
import plankwall.core.connectivity.LeaderRouting
import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.sessions.HeartbeatBatcher
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.Outbox
import plankwall.core.statemachine.RequestId
import plankwall.wire.AnswerBatch
import plankwall.wire.BatchedAnswer
import plankwall.wire.HeartbeatStatus
import plankwall.wire.JobCodec
import plankwall.wire.RelayedAnswer
import plankwall.wire.RelayedHeartbeat
import plankwall.wire.SessionPlan

/** Answers a worker's [request] with 503 and [reason]; the worker retries. */
internal fun Outbox.rejectHeartbeat(request: RequestId, reason: String) =
    answer(request, 503, JobCodec.error(reason), 1)

/** The session plan that [leader] published in its epoch, or null if all workers come to it. */
internal fun ReachabilityMatrix.sessionPlanOf(leader: LeadershipClaim): SessionPlan? =
    statusOf(leader.node)?.sessions?.plan?.takeIf { it.epoch == leader.epoch }

/**
 * Relays heartbeats to the leader and its answers back to the workers. An answer is the leader's, fencing token
 * included, and is passed only to the request that it belongs to and only while that waits; for the worker and for the
 * leader's proofs it is an answer like any other.
 */
internal class HeartbeatForwarder(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val routing: LeaderRouting,
    private val workers: SeenWorkers,
) {
    private class Relayed(
        val request: RequestId,
        val heartbeat: HeartbeatStatus,
        val address: String,
        val leader: LeadershipClaim,
        val sentAt: Double,
    ) {
        val machine: String get() = heartbeat.machine

        /** It went in a batch, in full rather than as a reference to an earlier one. */
        var sentInFull = false
    }

    private val log = LoggerFactory.getLogger("relay")
    private val relayed = LinkedHashMap<Long, Relayed>()
    private val batcher = HeartbeatBatcher(ctx, reachability)
    private val maxRelayed = (ctx.settings.maxConnections / 4).coerceIn(16, 400)
    private var nextId = ctx.incarnation
    private var relayedSinceSummary = 0
    private var nextSummaryAt = 0.0

    /** Relays a heartbeat to [leader]; false if that is not possible, which leaves its request unanswered. */
    fun relay(input: Input.Heartbeat, leader: LeadershipClaim): Boolean {
        if (!reachability.isFresh(leader.node) || !reachability.supportsRelay(leader.node)) return false
        if (relayed.size >= maxRelayed) return false
        val id = nextId++
        val entry = Relayed(input.request, input.report, input.from, leader, ctx.now)
        relayed[id] = entry
        relayedSinceSummary++
        if (reachability.sessionPlanOf(leader) != null) {
            entry.sentInFull = batcher.add(id, leader, input.from, input.report)
            workers[entry.machine]?.inFlight = true
        } else {
            val echo = reachability.lastSeqFrom(leader.node)
            val message = RelayedHeartbeat(ctx.settings.node, id, echo, input.from, input.report)
            ctx.out.add(Effect.PeerSend(message, leader.node))
        }
        return true
    }

    /** Passes the leader's answer on to the worker. */
    fun onAnswer(answer: RelayedAnswer) {
        // A request that timed out is answered already; its answer must not reach the worker's next request.
        val entry = relayed[answer.id]?.takeIf { it.leader.node == answer.from } ?: return
        passOn(answer.id, entry, answer.status, answer.body)
    }

    /** Passes the leader's answers on to the workers; only to heartbeats that were sent to its node in its epoch. */
    fun onAnswer(batch: AnswerBatch) {
        for (answer in batch.answers) {
            val entry = relayed[answer.id] ?: continue
            if (entry.leader.node != batch.from || entry.leader.epoch != batch.epoch) continue
            if (answer.status == BatchedAnswer.RESEND) {
                entry.sentInFull =
                    batcher.add(answer.id, entry.leader, entry.address, entry.heartbeat, inFull = true)
            } else {
                if (entry.sentInFull) batcher.onAnswered(answer.id, batch.epoch, entry.heartbeat)
                passOn(answer.id, entry, answer.status, answer.body)
            }
        }
    }

    private fun passOn(id: Long, entry: Relayed, status: Int, body: ByteArray) {
        relayed.remove(id)
        val worker = workers[entry.machine]
        worker?.inFlight = false
        when (status) {
            200 -> worker?.unserved = false
            421 -> worker?.noteRedirect(entry.leader.node, entry.leader.epoch, ctx.now)
        }
        ctx.out.answer(entry.request, status, body)
    }

    /** Sends the batches that are due and times out what was not answered; to be called regularly. */
    fun tick() {
        sendBatches()
        expire()
        logSummary()
    }

    private fun sendBatches() {
        val leader = routing.leader() ?: return
        batcher.takeDue(leader.epoch) { it in relayed }.forEach { ctx.out.add(Effect.PeerSend(it, leader.node)) }
    }

    private fun expire() {
        while (relayed.isNotEmpty()) {
            val (id, entry) = relayed.entries.first()
            if (ctx.now - entry.sentAt < ANSWER_TIMEOUT_S) break
            relayed.remove(id)
            workers[entry.machine]?.inFlight = false
            log.debug("relayed heartbeat timed out machine={} leader={}", entry.machine, entry.leader.node)
            ctx.out.rejectHeartbeat(entry.request, "the leader did not answer")
        }
    }

    private fun logSummary() {
        if (relayedSinceSummary == 0 || ctx.now < nextSummaryAt) return
        log.info(
            "heartbeats relayed count={} leader={} waiting={} batched_full={} batched_unchanged={}",
            relayedSinceSummary,
            routing.leader()?.node ?: "none",
            relayed.size,
            batcher.fullSent,
            batcher.unchangedSent,
        )
        relayedSinceSummary = 0
        nextSummaryAt = ctx.now + SUMMARY_INTERVAL_S
    }

    /** Rejects all heartbeats that wait for an answer, and drops what was collected for batches. */
    fun rejectAll(reason: String) {
        relayed.values.forEach { ctx.out.rejectHeartbeat(it.request, reason) }
        relayed.clear()
        batcher.clear()
    }

    private companion object {
        /** Well below the 4 s that a worker waits, and far above what two frames take. */
        const val ANSWER_TIMEOUT_S = 1.5
        const val SUMMARY_INTERVAL_S = 5.0
    }
}
