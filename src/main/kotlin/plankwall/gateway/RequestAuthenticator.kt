package plankwall.gateway

import okio.ByteString.Companion.encodeUtf8
import plankwall.audit.AuditLogWriter
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.Verdict
import plankwall.identity.Claims
import plankwall.identity.Networks
import plankwall.identity.ReplayGuard
import plankwall.identity.TokenReader
import plankwall.identity.TokenResult
import plankwall.identity.Tokens
import plankwall.wire.JobCodec

/**
 * Checks who sent a request: the token's signature, key, lifetime and binding, the caller's network, and that a bound
 * token is used once. A request that fails a check is answered here, and the refusal recorded first.
 */
internal class RequestAuthenticator(
    private val ctx: Context,
    private val settings: GatewaySettings,
    private val policies: PolicyStore,
    private val auditLog: AuditLogWriter,
    private val entries: AuditEntryFactory,
    private val denials: DenialLimits,
) {
    private val toleranceMs = settings.clockToleranceMs + ctx.settings.timeBoundMs.toLong() + 1
    private val tokens = TokenReader(settings.audience, toleranceMs, (settings.maxTokenS * MS_PER_S).toLong())
    private val usedTokens = ReplayGuard(MAX_USED_TOKENS)

    /** Read-only tokens whose signature was checked, by their header. */
    private val verifiedTokens = object : LinkedHashMap<String, Claims>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Claims>): Boolean = size > MAX_VERIFIED_TOKENS
    }

    /** Calls [then] with the caller if [credentials] prove one; answers [request] otherwise. */
    fun authenticate(request: RequestId, credentials: Credentials, then: (AuthenticatedCaller) -> Unit) {
        val network = Networks.neighbourhood(credentials.address)
        when {
            denials.byNetwork.isExhausted(network) -> answerTooMany(request, denials.byNetwork)
            !policies.known -> ctx.out.answer(request, 503, JobCodec.error("who may do what is not known yet"), 1)
            else -> when (val result = verifyToken(credentials)) {
                is TokenResult.Refused -> {
                    val origin = RequestOrigin("", "", network, idOfUnproven(credentials))
                    refuse(request, origin, 401, result.reason)
                }
                is TokenResult.Proven -> admit(request, credentials, result.claims, network, then)
            }
        }
    }

    private fun verifyToken(credentials: Credentials): TokenResult {
        val nowMs = ctx.time.wallMs
        val verified = credentials.authorization?.let { verifiedTokens[it] }
        // The signature was valid before; whether the key still is, is checked each time.
        if (verified != null && verified.expiresMs > nowMs && isKeyValid(verified, nowMs)) {
            return TokenResult.Proven(verified)
        }
        val result = tokens.read(credentials.authorization, nowMs) { principal, key ->
            policies.policy.publicKey(principal, key)
        }
        if (result is TokenResult.Proven && result.claims.binds == null) {
            credentials.authorization?.let { verifiedTokens[it] = result.claims }
        }
        return result
    }

    private fun isKeyValid(claims: Claims, nowMs: Long): Boolean =
        policies.policy.publicKey(claims.principal, claims.key)?.isValidAt(nowMs, toleranceMs) == true

    private fun admit(
        request: RequestId,
        credentials: Credentials,
        claims: Claims,
        network: String,
        then: (AuthenticatedCaller) -> Unit,
    ) {
        val origin = RequestOrigin(claims.principal, claims.key, network, claims.id)
        val networks = policies.policy.principals[claims.principal]?.networks
        val isFresh = policies.isFresh(settings.failClosedS)
        val isReadOnly = credentials.method == "GET"
        when {
            denials.byPrincipal.isExhausted(origin.name) -> answerTooMany(request, denials.byPrincipal)
            networks?.contains(credentials.address) == false -> refuse(request, origin, 403, "not from this network")
            claims.binds == null && !isReadOnly ->
                refuse(request, origin, 401, "a token that is bound to no request is good for looking only")
            claims.binds != null && claims.binds != fingerprintOf(credentials) ->
                refuse(request, origin, 401, "the token was made for another request")
            !isFresh && !isReadOnly ->
                ctx.out.answer(request, 503, JobCodec.error("what you may do can't be checked now"), 1)
            else -> when (useToken(claims)) {
                ReplayGuard.Use.FIRST -> then(callerOf(origin, isFresh))
                ReplayGuard.Use.AGAIN -> refuse(request, origin, 401, "the token was used already")
                ReplayGuard.Use.NO_ROOM -> ctx.out.answer(request, 429, JobCodec.error("too many requests"), 1)
            }
        }
    }

    private fun fingerprintOf(credentials: Credentials): String =
        Tokens.fingerprintOf(credentials.method, credentials.path, credentials.body)

    /** A token that is bound to no request only reads and may be used again. */
    private fun useToken(claims: Claims): ReplayGuard.Use = if (claims.binds == null) {
        ReplayGuard.Use.FIRST
    } else {
        usedTokens.use(claims.principal, claims.id, claims.expiresMs, ctx.time.wallMs)
    }

    private fun callerOf(origin: RequestOrigin, isFresh: Boolean) =
        AuthenticatedCaller(origin, ownJobsOnly = !isFresh, policies, auditLog, entries, denials.byPrincipal)

    /** The audit log's id for a request of an unknown caller: a hash of what was sent as its proof. */
    private fun idOfUnproven(credentials: Credentials): String {
        val proof = (credentials.authorization ?: "").take(MAX_PROOF_CHARS)
        return "unproven-" + proof.encodeUtf8().sha256().base64Url().take(UNPROVEN_ID_CHARS)
    }

    private fun answerTooMany(request: RequestId, limiter: DenialLimiter) =
        ctx.out.answer(request, 429, JobCodec.error("too many denied requests"), limiter.retryAfterS())

    /** Refuses [request] once the refusal is in the audit log. */
    private fun refuse(request: RequestId, origin: RequestOrigin, status: Int, reason: String) {
        // Counted for the network only: with a captured token anybody could use up what its owner may be denied.
        denials.byNetwork.recordDenial(origin.network)
        log.info("request refused caller={} network={} reason={}", origin.name, origin.network, reason)
        auditLog.record(entries.create(origin, "enter", "", Verdict(false, reason), status)) { stored ->
            if (stored) {
                ctx.out.answer(request, status, JobCodec.error(reason))
            } else {
                ctx.out.answer(request, 503, JobCodec.error("the decision can't be recorded now"), 1)
            }
        }
    }

    private companion object {
        const val MS_PER_S = 1000
        const val MAX_PROOF_CHARS = 8192
        const val UNPROVEN_ID_CHARS = 16
        const val MAX_USED_TOKENS = 20_000
        const val MAX_VERIFIED_TOKENS = 2_000
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
