package plankwall.gateway

import okio.ByteString.Companion.encodeUtf8
import org.slf4j.LoggerFactory
import plankwall.audit.AuditEntry
import plankwall.audit.AuditLogSealer
import plankwall.audit.AuditLogWriter
import plankwall.core.statemachine.AccessCheck
import plankwall.core.statemachine.Action
import plankwall.core.statemachine.AdminRequest
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.Decision
import plankwall.core.statemachine.LeaseAuthority
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.Verdict
import plankwall.identity.Claims
import plankwall.identity.Networks
import plankwall.identity.ReplayGuard
import plankwall.identity.TokenReader
import plankwall.identity.TokenResult
import plankwall.identity.Tokens
import plankwall.model.JobFacts
import plankwall.wire.AccessKeys
import plankwall.wire.Guard
import plankwall.wire.JobCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** Lets in who proves who he is, has the rights judge what he wants, and the trail keep what was decided. */
class AccessGateway(private val ctx: Context, private val settings: GatewaySettings) : AccessCheck {
    private val log = LoggerFactory.getLogger("gate")
    private val schedulerState = PolicyStore(ctx, settings.firstRights)
    private val auditLog = AuditLogWriter(ctx, ctx.settings.node, settings.trailShare)
    private val sealer = AuditLogSealer(ctx, settings.nodeKey, settings.sealS)
    private val sweep = RevocationTask(ctx, schedulerState, auditLog, ::entry)
    private val adminService = AdminService(ctx, schedulerState, ::entered)
    private val toleranceMs = settings.clockToleranceMs + ctx.settings.timeBoundMs.toLong() + 1
    private val tokens = TokenReader(settings.audience, toleranceMs, (settings.maxTokenS * 1000).toLong())
    private val used = ReplayGuard(MAX_USED)
    private val looking = object : LinkedHashMap<String, Claims>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Claims>): Boolean = size > MAX_LOOKING
    }
    private val byPrincipal = GatewayLimits(ctx.time, settings.denialsPerS, settings.denialBurst)
    private val byNetwork = GatewayLimits(ctx.time, settings.denialsPerS, settings.denialBurst)
    private var nextDecision = 0L
    private var nextShed = 0.0
    private var epoch = 0L

    /** The version of the rights that this node goes by; 0: none yet. */
    val version: Long get() = schedulerState.policy.version

    /** Who may open a link as a peer, by the rights that hold now. */
    val peerNetworks: Networks? get() = schedulerState.policy.peers

    override fun tick(authority: LeaseAuthority?) {
        epoch = authority?.epoch ?: 0L
        schedulerState.tick()
        auditLog.tick()
        sealer.tick(authority)
        sweep.tick(authority)
        if (ctx.now >= nextShed) {
            nextShed = ctx.now + SHED_EVERY_S
            for ((kind, limits) in listOf("principal" to byPrincipal, "network" to byNetwork)) {
                limits.takeShed().forEach { (name, n) ->
                    log.info("{} {}: {} requests turned away unjudged", kind, name, n)
                    auditLog.note(
                        entry(
                            Who(name, "", ""),
                            "shed",
                            kind,
                            Verdict(false, "too many denials"),
                            429,
                            note = "$n requests",
                        ),
                    ) {
                    }
                }
            }
        }
    }

    /** Who asked, as the trail is told. */
    class Who(val name: String, val key: String, val network: String, val request: String = "")

    private fun entry(who: Who, action: String, subject: String, verdict: Verdict, status: Int, note: String = "") =
        AuditEntry(
            "${ctx.incarnation.toString(
                36,
            )}-${(nextDecision++).toString(36)}",
            ctx.time.wallMs, epoch, who.name, who.key, who.network,
            action, subject, verdict.allowed, verdict.rule, schedulerState.policy.version, status, who.request, note,
        )

    override fun authenticate(request: RequestId, credentials: Credentials, then: (Caller) -> Unit) =
        entered(request, credentials) {
            then(it)
        }

    override fun handleAdmin(request: RequestId, credentials: Credentials, asked: AdminRequest) =
        adminService.handle(request, credentials, asked)

    private fun entered(request: RequestId, credentials: Credentials, then: (Guest) -> Unit) {
        val network = Networks.neighbourhood(credentials.address)
        when {
            byNetwork.exhausted(network) -> tooMany(request, byNetwork)
            !schedulerState.known -> ctx.out.answer(request, 503, JobCodec.error("who may do what is not known yet"), 1)
            else -> when (val result = prove(credentials)) {
                is TokenResult.Refused -> refuse(
                    request,
                    Who("", "", network, nameless(credentials)),
                    401,
                    result.reason,
                    network,
                )
                is TokenResult.Proven -> admit(request, credentials, result.claims, network, then)
            }
        }
    }

    private fun prove(credentials: Credentials): TokenResult {
        val seen = credentials.authorization?.let { looking[it] }
        // Its signature held before; whether its key still does is asked each time.
        if (seen != null &&
            seen.expiresMs > ctx.time.wallMs &&
            schedulerState.policy.publicKey(seen.principal, seen.key)?.holds(ctx.time.wallMs, toleranceMs) == true
        ) {
            return TokenResult.Proven(seen)
        }
        val result = tokens.read(credentials.authorization, ctx.time.wallMs) { principal, key ->
            schedulerState.policy.publicKey(principal, key)
        }
        if (result is TokenResult.Proven &&
            result.claims.binds == null
        ) {
            credentials.authorization?.let { looking[it] = result.claims }
        }
        return result
    }

    private fun admit(
        request: RequestId,
        credentials: Credentials,
        claims: Claims,
        network: String,
        then: (Guest) -> Unit,
    ) {
        val who = Who(claims.principal, claims.key, network, claims.id)
        val principal = schedulerState.policy.principals[claims.principal]
        val fresh = schedulerState.fresh(settings.failClosedS)
        val binds = claims.binds
        when {
            byPrincipal.exhausted(who.name) -> tooMany(request, byPrincipal)
            principal?.networks?.contains(
                credentials.address,
            ) == false -> refuse(request, who, 403, "not from this network", network)
            binds == null && credentials.method != "GET" -> refuse(
                request,
                who,
                401,
                "a token that is bound to no request is good for looking only",
                network,
            )
            binds != null && binds != Tokens.fingerprintOf(credentials.method, credentials.path, credentials.body) ->
                refuse(request, who, 401, "the token was made for another request", network)
            !fresh && credentials.method != "GET" -> ctx.out.answer(
                request,
                503,
                JobCodec.error("what you may do can't be checked now"),
                1,
            )
            else -> when (
                if (binds ==
                    null
                ) {
                    ReplayGuard.Use.FIRST
                } else {
                    used.use(who.name, claims.id, claims.expiresMs, ctx.time.wallMs)
                }
            ) {
                ReplayGuard.Use.FIRST -> then(Guest(who, ownOnly = !fresh))
                ReplayGuard.Use.AGAIN -> refuse(request, who, 401, "the token was used already", network)
                ReplayGuard.Use.NO_ROOM -> ctx.out.answer(request, 429, JobCodec.error("too many requests"), 1)
            }
        }
    }

    /** What a request is called in the trail that nobody can be said to have made: by what was sent as its proof. */
    private fun nameless(credentials: Credentials): String =
        "unproven-" + (credentials.authorization ?: "").take(MAX_PROOF).encodeUtf8().sha256().base64Url().take(NAMELESS)

    private fun tooMany(request: RequestId, limits: GatewayLimits) =
        ctx.out.answer(request, 429, JobCodec.error("too many denied requests"), limits.retryAfterS())

    /** Turned away at the door, told only once that is in the trail. */
    private fun refuse(request: RequestId, who: Who, status: Int, reason: String, network: String) {
        // Only the network: with a captured token anybody could else use up what its owner may be denied.
        byNetwork.denied(network)
        log.info("{} from {} refused: {}", who.name.ifEmpty { "nobody known" }, network, reason)
        auditLog.note(entry(who, "enter", "", Verdict(false, reason), status)) { stored ->
            if (stored) ctx.out.answer(request, status, JobCodec.error(reason)) else unstored(request)
        }
    }

    private fun unstored(request: RequestId) =
        ctx.out.answer(request, 503, JobCodec.error("the decision can't be recorded now"), 1)

    override fun heartbeatRefusal(address: String, claimed: String, listed: String?): String? {
        val ranges = schedulerState.policy.workers
        return when {
            ranges != null && !ranges.contains(address) -> "workers may not report from this network"
            !settings.workersAtListedAddress || listed.isNullOrEmpty() -> null
            listed != claimed -> "the machine is listed at another address"
            !Networks.sameHost(listed, address) -> "the report comes from another address than the machine's"
            else -> null
        }
    }

    /** [ownOnly]: the rights are old, so all that is left is looking at one's own jobs. */
    inner class Guest(private val who: Who, private val ownOnly: Boolean) : Caller {
        override val name: String get() = who.name

        override fun authorize(action: Action, job: JobFacts?): Verdict {
            if (ownOnly) {
                return Verdict(
                    action == Action.SHOW && job?.owner == name,
                    "rights too old: own jobs may be looked at",
                )
            }
            return schedulerState.policy.authorize(name, action, job)
        }

        override fun record(decision: Decision, then: (Boolean) -> Unit) {
            val e = entry(decision)
            if (!decision.verdict.allowed) {
                byPrincipal.denied(name)
                log.info("{} may not {} {}: {}", name, decision.action.word, decision.subject, decision.verdict.rule)
            }
            // A look at one's own needs no waiting for a store that is away; it is recorded when that is back.
            if (ownOnly && decision.verdict.allowed) then(auditLog.noteLater(e)) else auditLog.note(e, then)
        }

        private fun entry(d: Decision) = entry(who, d.action.word, d.subject, d.verdict, d.status)

        override fun change(decision: Decision, txn: StateOp.Txn, then: (StateResult) -> Unit) {
            val own = txn.guards.any { it.key == AccessKeys.HEAD }
            val guarded = if (own) txn else txn.copy(guards = txn.guards + Guard(AccessKeys.HEAD, schedulerState.stamp))
            auditLog.change(entry(decision), guarded) { result ->
                if (result is StateResult.Conflict &&
                    AccessKeys.HEAD in result.failed
                ) {
                    schedulerState.refresh { then(result) }
                } else {
                    then(result)
                }
            }
        }
    }

    private companion object {
        const val MAX_PROOF = 8192
        const val NAMELESS = 16
        const val MAX_USED = 20_000
        const val MAX_LOOKING = 2_000
        const val SHED_EVERY_S = 5.0
    }
}
