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
 * Authenticates the sender of a request. It checks the token's signature, key, lifetime and binding to the request, the
 * network of the caller, and that a token bound to a request is used only once. Requests that fail a check are answered
 * here, after the refusal was recorded in the audit log.
 */
internal class RequestAuthenticator(
    private val ctx: Context,
    private val settings: GatewaySettings,
    private val policies: PolicyStore,
    private val auditLog: AuditLogWriter,
    private val entryFactory: AuditEntryFactory,
    private val denials: DenialLimits,
) {
    /**
     * The clock difference that is tolerated: the time bound of the site, rounded up, is added to that of the settings.
     */
    private val toleranceMs = settings.clockToleranceMs + ctx.settings.timeBoundMs.toLong() + 1
    private val tokens = TokenReader(settings.audience, toleranceMs, (settings.maxTokenLifetimeS * MS_PER_S).toLong())
    private val usedTokens = ReplayGuard(MAX_USED_TOKENS)

    /** The claims of the read-only tokens whose signature was verified lately, by their `Authorization` header. */
    private val verifiedTokens = object : LinkedHashMap<String, Claims>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Claims>): Boolean = size > MAX_VERIFIED_TOKENS
    }

    /** Calls [onAuthenticated] with the caller that [credentials] prove; answers [request] if they prove none. */
    fun authenticate(request: RequestId, credentials: Credentials, onAuthenticated: (AuthenticatedCaller) -> Unit) {
        val network = Networks.neighbourhood(credentials.address)
        when {
            denials.byNetwork.isExhausted(network) -> answerTooMany(request, denials.byNetwork)
            !policies.isLoaded -> ctx.out.answer(request, 503, JobCodec.error("the access policy is not loaded yet"), 1)
            else -> when (val result = verifyToken(credentials)) {
                is TokenResult.Refused -> {
                    val origin = RequestOrigin("", "", network, unprovenRequestId(credentials))
                    refuse(request, origin, 401, result.reason)
                }
                is TokenResult.Proven -> admit(request, credentials, result.claims, network, onAuthenticated)
            }
        }
    }

    private fun verifyToken(credentials: Credentials): TokenResult {
        val nowMs = ctx.time.wallMs
        val verified = credentials.authorization?.let { verifiedTokens[it] }
        // The signature needs no second check, but the key may have expired or been removed from the policy since.
        if (verified != null && verified.expiresMs > nowMs && isKeyValid(verified, nowMs)) {
            return TokenResult.Proven(verified)
        }
        val result = tokens.read(credentials.authorization, nowMs) { principal, key ->
            policies.policy.publicKey(principal, key)
        }
        if (result is TokenResult.Proven && result.claims.requestFingerprint == null) {
            credentials.authorization?.let { verifiedTokens[it] = result.claims }
        }
        return result
    }

    private fun isKeyValid(claims: Claims, nowMs: Long): Boolean =
        policies.policy.publicKey(claims.principal, claims.keyId)?.isValidAt(nowMs, toleranceMs) == true

    /** Checks what a valid signature does not prove: rate limits, network, binding, age of the policy and reuse. */
    private fun admit(
        request: RequestId,
        credentials: Credentials,
        claims: Claims,
        network: String,
        onAuthenticated: (AuthenticatedCaller) -> Unit,
    ) {
        val origin = RequestOrigin(claims.principal, claims.keyId, network, claims.id)
        val networks = policies.policy.principals[claims.principal]?.networks
        val isFresh = policies.isFresh(settings.maxPolicyAgeS)
        val isReadOnly = credentials.method == "GET"
        when {
            denials.byPrincipal.isExhausted(origin.name) -> answerTooMany(request, denials.byPrincipal)
            networks?.contains(credentials.address) == false -> refuse(request, origin, 403, "not from this network")
            claims.requestFingerprint == null && !isReadOnly ->
                refuse(request, origin, 401, "a token that is bound to no request is good for looking only")
            claims.requestFingerprint != null && claims.requestFingerprint != fingerprintOf(credentials) ->
                refuse(request, origin, 401, "the token was made for another request")
            !isFresh && !isReadOnly ->
                ctx.out.answer(request, 503, JobCodec.error("the access policy can't be read now"), 1)
            else -> when (useToken(claims)) {
                ReplayGuard.Use.FIRST -> onAuthenticated(callerOf(origin, isFresh))
                ReplayGuard.Use.AGAIN -> refuse(request, origin, 401, "the token was used already")
                ReplayGuard.Use.NO_ROOM -> ctx.out.answer(request, 429, JobCodec.error("too many requests"), 1)
            }
        }
    }

    private fun fingerprintOf(credentials: Credentials): String =
        Tokens.fingerprintOf(credentials.method, credentials.path, credentials.body)

    /** Records the use of a token. One that is bound to no request permits only reads and may be used repeatedly. */
    private fun useToken(claims: Claims): ReplayGuard.Use = if (claims.requestFingerprint == null) {
        ReplayGuard.Use.FIRST
    } else {
        usedTokens.use(claims.principal, claims.id, claims.expiresMs, ctx.time.wallMs)
    }

    private fun callerOf(origin: RequestOrigin, isFresh: Boolean) =
        AuthenticatedCaller(origin, ownJobsOnly = !isFresh, policies, auditLog, entryFactory, denials.byPrincipal)

    /** The request id in the audit log for a caller that proved no identity: a hash of its `Authorization` header. */
    private fun unprovenRequestId(credentials: Credentials): String {
        val proof = (credentials.authorization ?: "").take(MAX_PROOF_CHARS)
        return "unproven-" + proof.encodeUtf8().sha256().base64Url().take(UNPROVEN_ID_CHARS)
    }

    private fun answerTooMany(request: RequestId, limiter: DenialLimiter) =
        ctx.out.answer(request, 429, JobCodec.error("too many denied requests"), limiter.retryAfterS())

    /** Records the refusal in the audit log and then answers [request] with [status] and [reason]. */
    private fun refuse(request: RequestId, origin: RequestOrigin, status: Int, reason: String) {
        // The refusal does not count against the principal: otherwise an attacker who replays a captured token could
        // use up the denials that the token's owner is allowed, and the owner would be refused as well.
        denials.byNetwork.recordDenial(origin.network)
        log.info("request refused caller={} network={} reason={}", origin.name, origin.network, reason)
        auditLog.record(entryFactory.create(origin, "enter", "", Verdict(false, reason), status)) { stored ->
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
