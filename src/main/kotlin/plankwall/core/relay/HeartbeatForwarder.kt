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

/** Answers a worker's [request] with status 503 and [reason]; the worker retries after a second. */
internal fun Outbox.rejectHeartbeat(request: RequestId, reason: String) =
    answer(request, 503, JobCodec.error(reason), 1)

/** Returns the session plan that [leader] published in its epoch, or null if all workers connect to the leader. */
internal fun ReachabilityMatrix.sessionPlanOf(leader: LeadershipClaim): SessionPlan? =
    statusOf(leader.node)?.sessions?.plan?.takeIf { it.epoch == leader.epoch }

/**
 * Relays heartbeats to the leader and its answers back to the workers. An answer is passed on unchanged, with the
 * leader's fencing token, and only to the request that it belongs to, while that request is still open. Therefore both
 * the worker and the leader can treat it like the answer to a direct heartbeat.
 */
internal class HeartbeatForwarder(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val routing: LeaderRouting,
    private val workers: SeenWorkers,
) {
    /** A heartbeat that was relayed to [leader] and whose [request] is not answered yet. */
    private class PendingHeartbeat(
        val request: RequestId,
        val heartbeat: HeartbeatStatus,
        val address: String,
        val leader: LeadershipClaim,
        val sentAt: Double,
    ) {
        val machine: String get() = heartbeat.machine

        /** Whether the heartbeat was sent in a batch in full, rather than as a reference to an earlier one. */
        var sentInFull = false
    }

    private val log = LoggerFactory.getLogger("relay")
    private val pending = LinkedHashMap<Long, PendingHeartbeat>()
    private val batcher = HeartbeatBatcher(ctx, reachability)
    private val maxPending = (ctx.settings.maxConnections / 4).coerceIn(16, 400)
    private var nextId = ctx.incarnation
    private var relayedSinceSummary = 0
    private var nextSummaryAt = 0.0

    /**
     * Relays a heartbeat to [leader], in a batch if the leader has published a session plan. Returns false if it can't
     * be relayed; the caller then has to answer the request.
     */
    fun relayHeartbeat(input: Input.Heartbeat, leader: LeadershipClaim): Boolean {
        if (!reachability.isFresh(leader.node) || !reachability.supportsRelay(leader.node)) return false
        if (pending.size >= maxPending) return false
        val id = nextId++
        val entry = PendingHeartbeat(input.request, input.heartbeat, input.from, leader, ctx.now)
        pending[id] = entry
        relayedSinceSummary++
        if (reachability.sessionPlanOf(leader) != null) {
            entry.sentInFull = batcher.add(id, leader, input.from, input.heartbeat)
            workers[entry.machine]?.isInFlight = true
        } else {
            val echo = reachability.lastSeqFrom(leader.node)
            val message = RelayedHeartbeat(ctx.settings.node, id, echo, input.from, input.heartbeat)
            ctx.out.add(Effect.PeerSend(message, leader.node))
        }
        return true
    }

    /** Passes the leader's answer on to the worker. */
    fun onAnswer(answer: RelayedAnswer) {
        // A request that timed out has been answered with an error. Its late answer must not reach the worker's next
        // request.
        val entry = pending[answer.id]?.takeIf { it.leader.node == answer.from } ?: return
        forwardAnswer(answer.id, entry, answer.status, answer.body)
    }

    /**
     * Passes the leader's answers on to the workers. Answers to heartbeats that were sent to another node or for
     * another epoch are ignored.
     */
    fun onAnswer(batch: AnswerBatch) {
        for (answer in batch.answers) {
            val entry = pending[answer.id] ?: continue
            if (entry.leader.node != batch.from || entry.leader.epoch != batch.epoch) continue
            if (answer.status == BatchedAnswer.RESEND) {
                entry.sentInFull =
                    batcher.add(answer.id, entry.leader, entry.address, entry.heartbeat, forceFull = true)
            } else {
                if (entry.sentInFull) batcher.onAnswered(answer.id, batch.epoch, entry.heartbeat)
                forwardAnswer(answer.id, entry, answer.status, answer.body)
            }
        }
    }

    private fun forwardAnswer(id: Long, entry: PendingHeartbeat, status: Int, body: ByteArray) {
        pending.remove(id)
        val worker = workers[entry.machine]
        worker?.isInFlight = false
        when (status) {
            200 -> worker?.isUnserved = false
            421 -> worker?.recordRedirect(entry.leader.node, entry.leader.epoch, ctx.now)
        }
        ctx.out.answer(entry.request, status, body)
    }

    /** Sends the batches that are due and rejects requests that the leader did not answer in time. Called regularly. */
    fun tick() {
        sendBatches()
        rejectTimedOutHeartbeats()
        logSummary()
    }

    private fun sendBatches() {
        val leader = routing.leader() ?: return
        batcher.takeDue(leader.epoch) { it in pending }.forEach { ctx.out.add(Effect.PeerSend(it, leader.node)) }
    }

    private fun rejectTimedOutHeartbeats() {
        while (pending.isNotEmpty()) {
            val (id, entry) = pending.entries.first()
            if (ctx.now - entry.sentAt < ANSWER_TIMEOUT_S) break
            pending.remove(id)
            workers[entry.machine]?.isInFlight = false
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
            pending.size,
            batcher.fullSentCount,
            batcher.unchangedSentCount,
        )
        relayedSinceSummary = 0
        nextSummaryAt = ctx.now + SUMMARY_INTERVAL_S
    }

    /** Rejects all heartbeats that wait for an answer, and drops the batch that is not sent yet. */
    fun rejectAll(reason: String) {
        pending.values.forEach { ctx.out.rejectHeartbeat(it.request, reason) }
        pending.clear()
        batcher.clear()
    }

    private companion object {
        /** Well below the 4 s that a worker waits for an answer, and far above the delay of two frames. */
        const val ANSWER_TIMEOUT_S = 1.5
        const val SUMMARY_INTERVAL_S = 5.0
    }
}
