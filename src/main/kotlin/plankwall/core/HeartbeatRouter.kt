package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.election.Leadership
import plankwall.core.relay.WorkerRelay
import plankwall.core.sessions.HeartbeatBaselines
import plankwall.core.statemachine.AccessCheck
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.wire.AnswerBatch
import plankwall.wire.BatchedAnswer
import plankwall.wire.HeartbeatBatch
import plankwall.wire.HeartbeatStatus
import plankwall.wire.JobCodec
import plankwall.wire.PeerMessage
import plankwall.wire.RelayedAnswer
import plankwall.wire.RelayedHeartbeat
import plankwall.wire.WorkerCodec

/**
 * Accepts heartbeats by every path (from the worker itself, relayed by a peer, or in a peer's batch) and returns the
 * answer by the same path. Where this node does not lead, it passes a worker's own heartbeat to the relay.
 */
internal class HeartbeatRouter(
    private val ctx: Context,
    private val leadership: Leadership,
    private val relay: WorkerRelay,
    private val accessCheck: AccessCheck?,
    private val currentTerm: () -> LeadershipTerm?,
) {
    private val log = LoggerFactory.getLogger("heartbeat")
    private var baselines = HeartbeatBaselines()

    /** An HTTP answer to a worker. [retryAfterS]: the seconds after which the worker should try again, if any. */
    private class WorkerAnswer(val status: Int, val body: ByteArray, val retryAfterS: Int? = null)

    /** Forgets all baselines when this node is elected: peers send full heartbeats before they refer to them. */
    fun onElected() {
        baselines = HeartbeatBaselines()
    }

    /** Handles a heartbeat that came directly from its worker. */
    fun onHeartbeat(input: Input.Heartbeat) {
        val refusal = findRefusal(input.from, input.heartbeat)
        if (refusal != null) return ctx.out.answer(input.request, 403, JobCodec.error(refusal))
        currentTerm()?.resignIfFenced(input.heartbeat)
        val answer = answerAsLeader(input.heartbeat, ctx.settings.node)
        if (answer == null) {
            relay.onHeartbeat(input)
        } else {
            ctx.out.answer(input.request, answer.status, answer.body, answer.retryAfterS)
        }
    }

    /** Handles a heartbeat that a peer relays because its worker can't reach this node. */
    fun onRelayedHeartbeat(message: RelayedHeartbeat) {
        if (isDelayed(message.echo)) return
        val answer = answerRelayed(message.from, message.address, message.heartbeat)
        send(RelayedAnswer(ctx.settings.node, message.id, answer.status, answer.body), message.from)
    }

    /**
     * Handles heartbeats of workers whose sessions a peer serves. A batch that is meant for another epoch or was
     * delayed is dropped.
     */
    fun onBatch(batch: HeartbeatBatch) {
        val epoch = leadership.epoch
        if (batch.epoch != epoch || isDelayed(batch.echo)) return
        val answers = ArrayList<BatchedAnswer>()
        var batchBytes = 0
        for (sent in batch.heartbeats) {
            val heartbeat = baselines.resolve(batch.from, sent)
            val answer = heartbeat?.let { answerRelayed(batch.from, sent.address, it) }
            val batched = BatchedAnswer(sent.id, answer?.status ?: BatchedAnswer.RESEND, answer?.body ?: NO_BODY)
            if (batchBytes + batched.body.size > MAX_BATCH_BYTES && answers.isNotEmpty()) {
                send(AnswerBatch(ctx.settings.node, epoch, answers.toList()), batch.from)
                answers.clear()
                batchBytes = 0
            }
            answers.add(batched)
            batchBytes += batched.body.size + ANSWER_OVERHEAD_BYTES
        }
        if (answers.isNotEmpty()) send(AnswerBatch(ctx.settings.node, epoch, answers), batch.from)
    }

    private fun send(message: PeerMessage, node: String) = ctx.out.add(Effect.PeerSend(message, node))

    /**
     * Whether the message with this [echo] was delayed on the way. Its worker no longer waits for the answer then, and
     * may have sent a newer heartbeat to another node.
     */
    private fun isDelayed(echo: Long): Boolean = leadership.reachability.echoAgeS(echo) > ReachabilityMatrix.FRESH_S

    private fun answerRelayed(from: String, address: String, heartbeat: HeartbeatStatus): WorkerAnswer {
        val refusal = findRefusal(address, heartbeat)
        currentTerm()?.resignIfFenced(heartbeat)
        if (refusal != null) return WorkerAnswer(403, JobCodec.error(refusal))
        return answerAsLeader(heartbeat, from) ?: WorkerAnswer(503, JobCodec.error("does not lead"))
    }

    /** Returns why [heartbeat], which came from [address], is refused; null if it is accepted. */
    private fun findRefusal(address: String, heartbeat: HeartbeatStatus): String? = accessCheck?.heartbeatRefusal(
        address,
        heartbeat.address,
        currentTerm()?.listedAddress(heartbeat.machine),
    )?.also {
        log.warn("heartbeat refused machine={} address={} reason=\"{}\"", heartbeat.machine, address, it)
    }

    /** Returns the leader's answer, or null if this node may not give one. */
    private fun answerAsLeader(heartbeat: HeartbeatStatus, receivingNode: String): WorkerAnswer? {
        val term = currentTerm()
        if (term == null || !leadership.mayAnswer) return null
        return when (val outcome = term.onHeartbeat(heartbeat, receivingNode)) {
            is HeartbeatOutcome.Answered ->
                WorkerAnswer(200, WorkerCodec.answer(term.tokenFor(heartbeat.machine), outcome.orders))
            is HeartbeatOutcome.RedirectedTo -> WorkerAnswer(421, WorkerCodec.reportTo(outcome.node))
            HeartbeatOutcome.Outdated -> WorkerAnswer(503, JobCodec.error("an old report"), 1)
        }
    }

    private companion object {
        val NO_BODY = ByteArray(0)

        /** Less than the maximum size of a frame. The size of one answer's orders is bounded far below this. */
        const val MAX_BATCH_BYTES = 40_000
        const val ANSWER_OVERHEAD_BYTES = 20
    }
}
