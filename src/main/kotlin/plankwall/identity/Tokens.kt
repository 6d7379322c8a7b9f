package plankwall.identity

import okio.ByteString.Companion.toByteString
import org.jose4j.jws.AlgorithmIdentifiers
import org.jose4j.jws.JsonWebSignature
import org.jose4j.jwt.JwtClaims
import org.jose4j.jwt.MalformedClaimException
import org.jose4j.jwt.NumericDate
import org.jose4j.jwt.consumer.InvalidJwtException
import org.jose4j.lang.JoseException

/** What a token claims, once its signature held. [binds]: to which request; null: to none, good for looking only. */
class Claims(val principal: String, val key: String, val id: String, val expiresMs: Long, val binds: String?)

sealed interface TokenResult {
    class Proven(val claims: Claims) : TokenResult

    /** [reason] is one plain sentence that gives away nothing but what the caller sent. */
    class Refused(val reason: String) : TokenResult
}

/**
 * Short-lived tokens (RFC 7519, signed with Ed25519 by RFC 8037) that are bound to the one request they come with: a
 * captured one can at most ask again for what its owner asked for. One that is bound to nothing allows looking only.
 */
object Tokens {
    internal const val BINDS = "req"
    internal const val SCHEME = "Bearer "
    const val TYPE = "plankwall+jwt"

    fun authorization(token: String): String = SCHEME + token

    fun fingerprintOf(method: String, path: String, body: ByteArray): String {
        // The lengths keep two different requests from being written alike.
        val head = "${method.length} $method ${path.length} $path ${body.size}\n".encodeToByteArray()
        return (head + body).toByteString().sha256().base64Url().trimEnd('=')
    }

    /** [binds]: a request's fingerprint, or null for a token that only looks. [lifeS]: seconds. */
    fun sign(key: SigningKey, audience: String, id: String, wallMs: Long, lifeS: Int, binds: String?): String {
        val claims = JwtClaims()
        claims.subject = key.principal
        claims.setAudience(audience)
        claims.jwtId = id
        claims.issuedAt = NumericDate.fromMilliseconds(wallMs)
        claims.expirationTime = NumericDate.fromMilliseconds(wallMs + lifeS * 1000L)
        if (binds != null) claims.setStringClaim(BINDS, binds)
        return signatureOf(claims.toJson(), key, TYPE)
    }
}

/**
 * Reads `Authorization` headers for one service, [audience]. [toleranceMs]: how far two clocks may differ. [maxLifeMs]: how
 * long a token may be good for at the most.
 */
class TokenReader(private val audience: String, private val toleranceMs: Long, private val maxLifeMs: Long) {
    /** [keyOf] gives the key of a principal by both names, or null. [wallMs]: the time of day in milliseconds. */
    fun read(authorization: String?, wallMs: Long, keyOf: (principal: String, key: String) -> PublicKey?): TokenResult {
        if (authorization == null) return TokenResult.Refused("no proof of who asks: send a signed token")
        if (authorization.length > LONGEST || !authorization.startsWith(Tokens.SCHEME, ignoreCase = true)) return MALFORMED
        return try {
            verify(authorization.substring(Tokens.SCHEME.length).trim(), wallMs, keyOf)
        } catch (_: JoseException) {
            MALFORMED
        } catch (_: InvalidJwtException) {
            MALFORMED
        } catch (_: MalformedClaimException) {
            MALFORMED
        } catch (_: RuntimeException) {
            // jose4j's parsers meet whatever a stranger sends; none of it may end more than this request.
            MALFORMED
        }
    }

    private fun verify(token: String, wallMs: Long, keyOf: (String, String) -> PublicKey?): TokenResult {
        val jws = JsonWebSignature()
        jws.compactSerialization = token
        // A critical header would ask for something that is not done here.
        if (jws.algorithmHeaderValue != AlgorithmIdentifiers.EDDSA || jws.getHeader("typ") != Tokens.TYPE || "\"crit\"" in jws.headers.fullHeaderAsJsonString) return MALFORMED
        // The claims name the key's owner, so they are read before they are believed; nothing of them is used until then.
        val claims = JwtClaims.parse(jws.unverifiedPayload)
        val principal = claims.subject?.takeIf { it.length in 1..MAX_NAME } ?: return MALFORMED
        val kid = jws.keyIdHeaderValue ?: return MALFORMED
        val key = keyOf(principal, kid) ?: return UNPROVEN
        if (!key.holds(wallMs, toleranceMs)) return UNPROVEN
        if (!key.hasSigned(token)) return UNPROVEN
        if (claims.audience != listOf(audience)) return TokenResult.Refused("the token is meant for another service")
        return times(claims, principal, kid, wallMs)
    }

    private fun times(claims: JwtClaims, principal: String, kid: String, wallMs: Long): TokenResult {
        val issued = claims.issuedAt?.valueInMillis ?: return MALFORMED
        val expires = claims.expirationTime?.valueInMillis ?: return MALFORMED
        val id = claims.jwtId?.takeIf { it.length in 1..MAX_NAME } ?: return MALFORMED
        return when {
            expires <= issued || expires - issued > maxLifeMs -> TokenResult.Refused("the token lives longer than ${maxLifeMs / 1000} s")
            issued > wallMs + toleranceMs -> TokenResult.Refused("the token is not valid yet: compare the clocks")
            (claims.notBefore?.valueInMillis ?: issued) > wallMs + toleranceMs -> TokenResult.Refused("the token is not valid yet")
            expires + toleranceMs <= wallMs -> TokenResult.Refused("the token has expired")
            else -> TokenResult.Proven(Claims(principal, kid, id, expires + toleranceMs, claims.getStringClaimValue(Tokens.BINDS)))
        }
    }

    private companion object {
        const val LONGEST = 4096
        const val MAX_NAME = 200
        val MALFORMED = TokenResult.Refused("the token can't be read")

        // One sentence for every way of not being who one claims to be: which names and keys exist is nobody's business.
        val UNPROVEN = TokenResult.Refused("the token proves nobody known here")
    }
}
