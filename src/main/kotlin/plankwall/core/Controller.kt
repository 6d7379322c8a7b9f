package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.core.api.CapacityView
import plankwall.core.api.JobApi
import plankwall.core.api.ProgressCache
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.election.Leadership
import plankwall.core.relay.WorkerRelay
import plankwall.core.sessions.HeartbeatBaselines
import plankwall.core.statemachine.AccessCheck
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.model.Settings
import plankwall.model.Tuning
import plankwall.wire.AnswerBatch
import plankwall.wire.BatchedAnswer
import plankwall.wire.HeartbeatBatch
import plankwall.wire.HeartbeatStatus
import plankwall.wire.JobCodec
import plankwall.wire.JobProgress
import plankwall.wire.PeerStatus
import plankwall.wire.ProgressUpdate
import plankwall.wire.RelayedAnswer
import plankwall.wire.RelayedHeartbeat
import plankwall.wire.WorkerCodec
import java.util.Random

/**
 * One controller node as a state machine: no clock, no I/O, one thread. [step] takes what happened and returns what
 * to send, write and answer.
 */
class Controller(
    settings: Settings,
    tuning: Tuning,
    incarnation: Long,
    seed: Long,
    gate: ((Context) -> AccessCheck)? = null,
) {
    private val ctx = Context(settings, tuning, incarnation, Random(seed))
    private var term: LeadershipTerm? = null
    private val leadership: Leadership = Leadership(ctx, ::begin, ::end) { relay.recentWorkers }
    private val relay = WorkerRelay(ctx, leadership.reachability, leadership.routing)
    private val capacityView = CapacityView(ctx)
    private val board = ProgressCache()
    private val gate = gate?.invoke(ctx)
    private val front = JobApi(ctx, leadership, capacityView, ::progressOf, board::forget, keepFacts = gate != null)
    private var nextStatus = 0.0
    private var bases = HeartbeatBaselines()

    init {
        leadership.cancellations.onLearned = { term?.onCancelled(it) }
    }

    private val log = LoggerFactory.getLogger("workers")

    val leading: Boolean get() = leadership.leading

    fun step(now: Double, wallMs: Long, input: Input): List<Effect> {
        ctx.time.advance(now, wallMs)
        when (input) {
            Input.Tick -> tick()
            is Input.Submit -> authenticate(input.request, input.credentials) {
                front.submit(input.request, input.spec, it)
            }
            is Input.Show -> authenticate(input.request, input.credentials) {
                front.show(input.request, input.jobId, it)
            }
            is Input.Cancel -> authenticate(input.request, input.credentials) {
                front.cancel(input.request, input.jobId, it)
            }
            is Input.Admin -> handleAdmin(input)
            is Input.HealthCheck -> up(input)
            is Input.Heartbeat -> onHeartbeat(input)
            is Input.StateReply -> ctx.out.resume(input.call, input.result)
            is Input.CloudReply -> ctx.out.resume(input.call, input.result)
            is Input.WorkerReply -> input.report?.let {
                relay.onCommandAnswered(it.machine)
                term?.onRelayedHeartbeat(it)
            }
            is Input.PeerMessageReceived -> when (val message = input.message) {
                is PeerStatus -> leadership.onPeerStatus(message)
                is ProgressUpdate -> board.onUpdate(message, front::isLive)
                is RelayedHeartbeat -> relayed(message)
                is RelayedAnswer -> relay.onAnswer(message)
                is HeartbeatBatch -> batched(message)
                is AnswerBatch -> relay.onAnswer(message)
            }
        }
        return ctx.out.drain()
    }

    /** Without a gate anybody may ask; with one, a request without proof never gets behind it. */
    private fun authenticate(request: RequestId, credentials: Credentials?, then: (Caller?) -> Unit) {
        val gate = gate
        when {
            gate == null -> then(null)
            credentials == null -> ctx.out.answer(request, 401, JobCodec.error("no proof of who asks"))
            else -> gate.authenticate(request, credentials, then)
        }
    }

    private fun handleAdmin(input: Input.Admin) {
        val gate = gate
        if (gate == null) {
            ctx.out.answer(input.request, 404, JobCodec.error("not found"))
        } else {
            gate.handleAdmin(input.request, input.credentials, input.asked)
        }
    }

    private fun progressOf(id: String): JobProgress? = term?.progressOf(id) ?: board[id]

    private fun begin() {
        relay.onLeadershipGained()
        bases = HeartbeatBaselines()
        term = LeadershipTerm(ctx, leadership, capacityView).also { it.begin() }
        // The workers that other nodes serve are to stay there: who leads now had better be known at once.
        if (leadership.reachability.lastSessionPlan != null) nextStatus = ctx.now
    }

    private fun end() {
        term?.end()
        term = null
    }

    private fun tick() {
        ctx.runTimers()
        leadership.tick()
        capacityView.tick()
        term?.tick()
        front.tick()
        gate?.tick(if (leadership.leading) term?.authority else null)
        relay.tick()
        if (ctx.now >= nextStatus) {
            nextStatus = ctx.now + 1.0
            val links = leadership.reachabilityReport(relay.recentWorkers).copy(zones = term?.zones().orEmpty())
            ctx.out.add(Effect.PeerSend(leadership.status(relay.unservedWorkers, links, term?.sessionPlan)))
            term?.news()?.forEach { ctx.out.add(Effect.PeerSend(it)) }
        }
    }

    /** Healthy while requests can be taken. In an outage of the store for all, refusing at once beats being cut off. */
    private fun up(input: Input.HealthCheck) {
        if (capacityView.catalog != null &&
            !leadership.reachability.onlyOthersHaveStore()
        ) {
            ctx.out.answer(input.request, 200, JobCodec.error("none"))
        } else {
            ctx.out.answer(input.request, 503, JobCodec.error("not ready"), 1)
        }
    }

    private fun onHeartbeat(input: Input.Heartbeat) {
        val refused = refused(input.from, input.report)
        if (refused != null) return ctx.out.answer(input.request, 403, JobCodec.error(refused))
        term?.isForeign(input.report)
        val answer = answer(input.report, ctx.settings.node)
        if (answer == null) {
            relay.onHeartbeat(input)
        } else {
            ctx.out.answer(input.request, answer.status, answer.body, answer.retryAfterS)
        }
    }

    /** A report that another node passes on since its worker can't come here. */
    private fun relayed(message: RelayedHeartbeat) {
        if (isHeldBack(message.echo)) return
        val told = answerRelayed(message.from, message.address, message.report)
        ctx.out.add(Effect.PeerSend(RelayedAnswer(ctx.settings.node, message.id, told.status, told.body), message.from))
    }

    /** Held back on the way: its worker has given up, and a newer report may be anywhere by now. */
    private fun isHeldBack(echo: Long): Boolean = leadership.reachability.echoAgeS(echo) > ReachabilityMatrix.FRESH_S

    private fun answerRelayed(from: String, address: String, report: HeartbeatStatus): WorkerAnswer {
        val refused = refused(address, report)
        term?.isForeign(report)
        val answer = if (refused != null) WorkerAnswer(403, JobCodec.error(refused)) else answer(report, from)
        return answer ?: WorkerAnswer(503, JobCodec.error("does not lead"))
    }

    /** Reports of workers whose sessions another node serves. Meant for another epoch, they are for nobody here. */
    private fun batched(batch: HeartbeatBatch) {
        val epoch = leadership.epoch
        if (batch.epoch != epoch || isHeldBack(batch.echo)) return
        val answers = ArrayList<BatchedAnswer>()
        var bytes = 0
        for (sent in batch.reports) {
            val report = bases.resolve(batch.from, sent)
            val told = report?.let { answerRelayed(batch.from, sent.address, it) }
            val answer = BatchedAnswer(sent.id, told?.status ?: BatchedAnswer.RESEND, told?.body ?: NO_BODY)
            if (bytes + answer.body.size > ANSWER_BYTES && answers.isNotEmpty()) {
                ctx.out.add(Effect.PeerSend(AnswerBatch(ctx.settings.node, epoch, answers.toList()), batch.from))
                answers.clear()
                bytes = 0
            }
            answers.add(answer)
            bytes += answer.body.size + ANSWER_OVERHEAD
        }
        if (answers.isNotEmpty()) {
            ctx.out.add(
                Effect.PeerSend(AnswerBatch(ctx.settings.node, epoch, answers), batch.from),
            )
        }
    }

    private fun refused(from: String, report: HeartbeatStatus): String? =
        gate?.heartbeatRefusal(from, report.address, term?.listedAddress(report.machine))
            ?.also { log.warn("report of {} from {} refused: {}", report.machine, from, it) }

    private class WorkerAnswer(val status: Int, val body: ByteArray, val retryAfterS: Int? = null)

    /** The leader's answer; null where this node may not give one. */
    private fun answer(report: HeartbeatStatus, through: String): WorkerAnswer? {
        val current = term
        if (current == null || !leadership.mayAnswer) return null
        return when (val word = current.onHeartbeat(report, through)) {
            is LeadershipTerm.Word.Orders -> WorkerAnswer(
                200,
                WorkerCodec.answer(current.tokenFor(report.machine), word.orders),
            )
            is LeadershipTerm.Word.ReportTo -> WorkerAnswer(421, WorkerCodec.reportTo(word.node))
            LeadershipTerm.Word.Refused -> WorkerAnswer(503, JobCodec.error("an old report"), 1)
        }
    }

    private companion object {
        val NO_BODY = ByteArray(0)

        /** Below the largest frame; an answer's orders are bounded far below that. */
        const val ANSWER_BYTES = 40_000
        const val ANSWER_OVERHEAD = 20
    }
}
