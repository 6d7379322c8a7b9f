package plankwall.core

import plankwall.core.api.CatalogCache
import plankwall.core.api.JobApi
import plankwall.core.api.ProgressCache
import plankwall.core.election.Leadership
import plankwall.core.relay.WorkerRelay
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
import plankwall.wire.HeartbeatBatch
import plankwall.wire.HeartbeatStatus
import plankwall.wire.JobCodec
import plankwall.wire.JobProgress
import plankwall.wire.PeerMessage
import plankwall.wire.PeerStatus
import plankwall.wire.ProgressUpdate
import plankwall.wire.RelayedAnswer
import plankwall.wire.RelayedHeartbeat
import java.util.Random

/**
 * One controller node as a state machine: it reads no clock, does no I/O and runs on one thread. [step] takes one input
 * and returns the resulting effects: answers to requests, messages to send, and calls to the state service and the
 * cloud. Creates the parts of the controller, passes each input to the part that handles it, and owns the current
 * [LeadershipTerm] while this node leads.
 *
 * Without an [accessCheck] every request is allowed; with one, a request without credentials is refused.
 */
class Controller(
    settings: Settings,
    tuning: Tuning,
    incarnation: Long,
    seed: Long,
    accessCheck: ((Context) -> AccessCheck)? = null,
) {
    private val ctx = Context(settings, tuning, incarnation, Random(seed))
    private var term: LeadershipTerm? = null
    private val leadership: Leadership = Leadership(ctx, ::beginTerm, ::endTerm) { relay.recentWorkerCount }
    private val relay = WorkerRelay(ctx, leadership.reachability, leadership.routing)
    private val catalogCache = CatalogCache(ctx)
    private val progressCache = ProgressCache()
    private val accessCheck = accessCheck?.invoke(ctx)
    private val jobApi =
        JobApi(ctx, leadership, catalogCache, ::progressOf, progressCache::forget, keepFacts = accessCheck != null)
    private val heartbeats = HeartbeatRouter(ctx, leadership, relay, this.accessCheck) { term }
    private var nextStatusAt = 0.0

    init {
        leadership.cancellations.onLearned = { term?.onCancelled(it) }
    }

    /** Whether this node leads. */
    val isLeader: Boolean get() = leadership.isLeader

    /**
     * Handles [input], which happened at [now] seconds of the monotonic clock and [wallMs] milliseconds of wall-clock
     * time. Returns the effects that follow from it, in order.
     */
    fun step(now: Double, wallMs: Long, input: Input): List<Effect> {
        ctx.time.advance(now, wallMs)
        dispatch(input)
        return ctx.out.drain()
    }

    private fun dispatch(input: Input) = when (input) {
        Input.Tick -> tick()
        is Input.Submit -> submit(input)
        is Input.Show -> show(input)
        is Input.Cancel -> cancel(input)
        is Input.Admin -> handleAdmin(input)
        is Input.HealthCheck -> answerHealthCheck(input)
        is Input.Heartbeat -> heartbeats.onHeartbeat(input)
        is Input.StateReply -> ctx.out.resume(input.call, input.result)
        is Input.CloudReply -> ctx.out.resume(input.call, input.result)
        is Input.WorkerReply -> onWorkerReply(input.heartbeat)
        is Input.PeerMessageReceived -> onPeerMessage(input.message)
    }

    private fun onPeerMessage(message: PeerMessage) = when (message) {
        is PeerStatus -> leadership.onPeerStatus(message)
        is ProgressUpdate -> progressCache.onUpdate(message, jobApi::isLive)
        is RelayedHeartbeat -> heartbeats.onRelayedHeartbeat(message)
        is RelayedAnswer -> relay.onAnswer(message)
        is HeartbeatBatch -> heartbeats.onBatch(message)
        is AnswerBatch -> relay.onAnswer(message)
    }

    private fun submit(input: Input.Submit) = authenticate(input.request, input.credentials) {
        jobApi.submit(input.request, input.spec, it)
    }

    private fun show(input: Input.Show) = authenticate(input.request, input.credentials) {
        jobApi.show(input.request, input.jobId, it)
    }

    private fun cancel(input: Input.Cancel) = authenticate(input.request, input.credentials) {
        jobApi.cancel(input.request, input.jobId, it)
    }

    private fun authenticate(request: RequestId, credentials: Credentials?, onAuthenticated: (Caller?) -> Unit) {
        val check = accessCheck
        when {
            check == null -> onAuthenticated(null)
            credentials == null -> ctx.out.answer(request, 401, JobCodec.error("no proof of who asks"))
            else -> check.authenticate(request, credentials, onAuthenticated)
        }
    }

    private fun handleAdmin(input: Input.Admin) {
        val check = accessCheck
        if (check == null) {
            ctx.out.answer(input.request, 404, JobCodec.error("not found"))
        } else {
            check.handleAdmin(input.request, input.credentials, input.adminRequest)
        }
    }

    /**
     * Reports this node as healthy while it can accept requests. Where only peers reach the store it reports itself as
     * unhealthy, since refusing requests at once is better than letting them time out.
     */
    private fun answerHealthCheck(input: Input.HealthCheck) {
        if (catalogCache.catalog != null && !leadership.reachability.isStoreReachableOnlyByPeers()) {
            ctx.out.answer(input.request, 200, JobCodec.error("none"))
        } else {
            ctx.out.answer(input.request, 503, JobCodec.error("not ready"), 1)
        }
    }

    private fun onWorkerReply(heartbeat: HeartbeatStatus?) {
        if (heartbeat == null) return
        relay.onCommandAnswered(heartbeat.machine)
        term?.onCommandReply(heartbeat)
    }

    private fun progressOf(id: String): JobProgress? = term?.progressOf(id) ?: progressCache[id]

    private fun beginTerm() {
        relay.onLeadershipGained()
        heartbeats.onElected()
        term = LeadershipTerm(ctx, leadership, catalogCache).also { it.begin() }
        // Workers whose sessions other nodes serve should stay with them, so the peers should know the new leader at
        // once.
        if (leadership.reachability.lastSessionPlan != null) nextStatusAt = ctx.now
    }

    private fun endTerm() {
        term?.end()
        term = null
    }

    private fun tick() {
        ctx.runTimers()
        leadership.tick()
        catalogCache.tick()
        term?.tick()
        jobApi.tick()
        accessCheck?.tick(if (leadership.isLeader) term?.leaseAuthority else null)
        relay.tick()
        if (ctx.now >= nextStatusAt) sendStatus()
    }

    private fun sendStatus() {
        nextStatusAt = ctx.now + STATUS_INTERVAL_S
        val links = leadership.createReachabilityReport(relay.recentWorkerCount)
            .copy(zones = term?.reachByZone().orEmpty())
        ctx.out.add(Effect.PeerSend(leadership.createStatus(relay.unservedWorkerCount, links, term?.sessionPlan)))
        term?.progressUpdates()?.forEach { ctx.out.add(Effect.PeerSend(it)) }
    }

    private companion object {
        const val STATUS_INTERVAL_S = 1.0
    }
}
