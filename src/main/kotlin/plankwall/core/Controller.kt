package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.core.front.FrontDesk
import plankwall.core.front.Market
import plankwall.core.front.ProgressBoard
import plankwall.core.lead.Leadership
import plankwall.core.step.Context
import plankwall.core.step.Effect
import plankwall.core.step.Gate
import plankwall.core.step.Input
import plankwall.core.step.Proof
import plankwall.core.step.RequestId
import plankwall.core.step.Visitor
import plankwall.model.Settings
import plankwall.model.Tuning
import plankwall.wire.JobCodec
import plankwall.wire.JobProgress
import plankwall.wire.PeerStatus
import plankwall.wire.ProgressNews
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
    private var reign: Reign? = null
    private val leadership: Leadership = Leadership(ctx, ::begin, ::end)
    private val market = Market(ctx)
    private val board = ProgressBoard()
    private val gate = gate?.invoke(ctx)
    private val front = FrontDesk(ctx, leadership, market, ::progressOf, board::forget, keepFacts = gate != null)
    private val strays = HashMap<String, Double>()
    private var nextStatus = 0.0
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
            is Input.WorkerReply -> input.report?.let { reign?.overheard(it) }
            is Input.PeerHeard -> when (val message = input.message) {
                is PeerStatus -> leadership.notePeer(message)
                is ProgressNews -> board.hear(message, front::isLive)
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
        if (gate == null) ctx.out.answer(input.request, 404, JobCodec.error("not found"))
        else gate.keep(input.request, input.proof, input.asked)
    }

    private fun progressOf(id: String): JobProgress? = reign?.progressOf(id) ?: board[id]

    private fun begin() {
        reign = Reign(ctx, leadership, market).also { it.begin() }
    }

    private fun end() {
        reign?.end()
        reign = null
    }

    private fun tick() {
        ctx.runTimers()
        leadership.tick()
        market.tick()
        reign?.tick()
        front.tick()
        gate?.tick(if (leadership.leading) reign?.power else null)
        if (ctx.now >= nextStatus) {
            nextStatus = ctx.now + 1.0
            strays.values.removeIf { ctx.now - it > 5.0 }
            ctx.out.add(Effect.PeerSend(leadership.status(strays.size)))
            reign?.news()?.forEach { ctx.out.add(Effect.PeerSend(it)) }
        }
    }

    /** Healthy while requests can be taken. In an outage of the store for all, refusing at once beats being cut off. */
    private fun up(input: Input.Up) {
        val alone = !leadership.stateReachable && leadership.livePeers().any { it.stateReachable }
        if (market.catalog != null && !alone) ctx.out.answer(input.request, 200, JobCodec.error("none"))
        else ctx.out.answer(input.request, 503, JobCodec.error("not ready"), 1)
    }

    private fun checkIn(input: Input.CheckIn) {
        val report = input.report
        val refused = gate?.workerRefused(input.from, report.address, reign?.listedAddress(report.machine))
        if (refused != null) {
            log.warn("report of {} from {} refused: {}", report.machine, input.from, refused)
            ctx.out.answer(input.request, 403, JobCodec.error(refused))
            return
        }
        reign?.isForeign(report)
        val current = reign
        if (current == null || !leadership.mayAnswer) {
            strays[report.machine] = ctx.now
            val leader = leadership.leaderNode
            if (leader == null || leader == ctx.settings.node) {
                ctx.out.answer(input.request, 503, JobCodec.error("no leader is known"), 1)
            } else {
                ctx.out.answer(input.request, 421, WorkerCodec.reportTo(leader))
            }
            return
        }
        val orders = current.checkIn(report)
        if (orders == null) ctx.out.answer(input.request, 503, JobCodec.error("an old report"), 1)
        else ctx.out.answer(input.request, 200, WorkerCodec.answer(current.tokenFor(report.machine), orders))
    }
}
