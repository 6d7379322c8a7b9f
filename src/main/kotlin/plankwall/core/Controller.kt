package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.core.api.FrontDesk
import plankwall.core.api.Market
import plankwall.core.api.ProgressBoard
import plankwall.core.connectivity.LinkPicture
import plankwall.core.election.Leadership
import plankwall.core.relay.WorkerRelay
import plankwall.core.sessions.ReportBases
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Gate
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.Proof
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.Visitor
import plankwall.model.Settings
import plankwall.model.Tuning
import plankwall.wire.AnswerBatch
import plankwall.wire.BatchedAnswer
import plankwall.wire.JobCodec
import plankwall.wire.JobProgress
import plankwall.wire.PeerStatus
import plankwall.wire.ProgressNews
import plankwall.wire.RelayedAnswer
import plankwall.wire.RelayedReport
import plankwall.wire.Report
import plankwall.wire.ReportBatch
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
    gate: ((Context) -> Gate)? = null,
) {
    private val ctx = Context(settings, tuning, incarnation, Random(seed))
    private var term: LeadershipTerm? = null
    private val leadership: Leadership = Leadership(ctx, ::begin, ::end) { relay.turnUps }
    private val relay = WorkerRelay(ctx, leadership.picture, leadership.routing)
    private val market = Market(ctx)
    private val board = ProgressBoard()
    private val gate = gate?.invoke(ctx)
    private val front = FrontDesk(ctx, leadership, market, ::progressOf, board::forget, keepFacts = gate != null)
    private var nextStatus = 0.0
    private var bases = ReportBases()

    init {
        leadership.cancellations.onLearned = { term?.cancelled(it) }
    }

    private val log = LoggerFactory.getLogger("workers")

    val leading: Boolean get() = leadership.leading

    fun step(now: Double, wallMs: Long, input: Input): List<Effect> {
        ctx.time.advance(now, wallMs)
        when (input) {
            Input.Tick -> tick()
            is Input.Submit -> enter(input.request, input.proof) { front.submit(input.request, input.spec, it) }
            is Input.Show -> enter(input.request, input.proof) { front.show(input.request, input.jobId, it) }
            is Input.Withdraw -> enter(input.request, input.proof) { front.withdraw(input.request, input.jobId, it) }
            is Input.Keep -> keep(input)
            is Input.Up -> up(input)
            is Input.CheckIn -> checkIn(input)
            is Input.StateReply -> ctx.out.resume(input.call, input.result)
            is Input.CloudReply -> ctx.out.resume(input.call, input.result)
            is Input.WorkerReply -> input.report?.let {
                relay.reached(it.machine)
                term?.overheard(it)
            }
            is Input.PeerHeard -> when (val message = input.message) {
                is PeerStatus -> leadership.notePeer(message)
                is ProgressNews -> board.hear(message, front::isLive)
                is RelayedReport -> relayed(message)
                is RelayedAnswer -> relay.answered(message)
                is ReportBatch -> batched(message)
                is AnswerBatch -> relay.answered(message)
            }
        }
        return ctx.out.take()
    }

    /** Without a gate anybody may ask; with one, a request without proof never gets behind it. */
    private fun enter(request: RequestId, proof: Proof?, then: (Visitor?) -> Unit) {
        val gate = gate
        when {
            gate == null -> then(null)
            proof == null -> ctx.out.answer(request, 401, JobCodec.error("no proof of who asks"))
            else -> gate.enter(request, proof, then)
        }
    }

    private fun keep(input: Input.Keep) {
        val gate = gate
        if (gate == null) {
            ctx.out.answer(input.request, 404, JobCodec.error("not found"))
        } else {
            gate.keep(input.request, input.proof, input.asked)
        }
    }

    private fun progressOf(id: String): JobProgress? = term?.progressOf(id) ?: board[id]

    private fun begin() {
        relay.leads()
        bases = ReportBases()
        term = LeadershipTerm(ctx, leadership, market).also { it.begin() }
        // The workers that other nodes serve are to stay there: who leads now had better be known at once.
        if (leadership.picture.lastSessionPlan != null) nextStatus = ctx.now
    }

    private fun end() {
        term?.end()
        term = null
    }

    private fun tick() {
        ctx.runTimers()
        leadership.tick()
        market.tick()
        term?.tick()
        front.tick()
        gate?.tick(if (leadership.leading) term?.power else null)
        relay.tick()
        if (ctx.now >= nextStatus) {
            nextStatus = ctx.now + 1.0
            val links = leadership.links(relay.turnUps).copy(zones = term?.zones().orEmpty())
            ctx.out.add(Effect.PeerSend(leadership.status(relay.strays, links, term?.sessionPlan)))
            term?.news()?.forEach { ctx.out.add(Effect.PeerSend(it)) }
        }
    }

    /** Healthy while requests can be taken. In an outage of the store for all, refusing at once beats being cut off. */
    private fun up(input: Input.Up) {
        if (market.catalog != null &&
            !leadership.picture.onlyOthersHaveStore()
        ) {
            ctx.out.answer(input.request, 200, JobCodec.error("none"))
        } else {
            ctx.out.answer(input.request, 503, JobCodec.error("not ready"), 1)
        }
    }

    private fun checkIn(input: Input.CheckIn) {
        val refused = refused(input.from, input.report)
        if (refused != null) return ctx.out.answer(input.request, 403, JobCodec.error(refused))
        term?.isForeign(input.report)
        val answer = answer(input.report, ctx.settings.node)
        if (answer == null) {
            relay.checkIn(input)
        } else {
            ctx.out.answer(input.request, answer.status, answer.body, answer.retryAfterS)
        }
    }

    /** A report that another node passes on since its worker can't come here. */
    private fun relayed(message: RelayedReport) {
        if (isHeldBack(message.echo)) return
        val told = answerRelayed(message.from, message.address, message.report)
        ctx.out.add(Effect.PeerSend(RelayedAnswer(ctx.settings.node, message.id, told.status, told.body), message.from))
    }

    /** Held back on the way: its worker has given up, and a newer report may be anywhere by now. */
    private fun isHeldBack(echo: Long): Boolean = leadership.picture.ageOf(echo) > LinkPicture.FRESH_S

    private fun answerRelayed(from: String, address: String, report: Report): WorkerAnswer {
        val refused = refused(address, report)
        term?.isForeign(report)
        val answer = if (refused != null) WorkerAnswer(403, JobCodec.error(refused)) else answer(report, from)
        return answer ?: WorkerAnswer(503, JobCodec.error("does not lead"))
    }

    /** Reports of workers whose sessions another node serves. Meant for another epoch, they are for nobody here. */
    private fun batched(batch: ReportBatch) {
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

    private fun refused(from: String, report: Report): String? =
        gate?.workerRefused(from, report.address, term?.listedAddress(report.machine))
            ?.also { log.warn("report of {} from {} refused: {}", report.machine, from, it) }

    private class WorkerAnswer(val status: Int, val body: ByteArray, val retryAfterS: Int? = null)

    /** The leader's answer; null where this node may not give one. */
    private fun answer(report: Report, through: String): WorkerAnswer? {
        val current = term
        if (current == null || !leadership.mayAnswer) return null
        return when (val word = current.checkIn(report, through)) {
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
