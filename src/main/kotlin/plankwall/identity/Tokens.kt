package plankwall.identity

import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.ObjectReader
import com.fasterxml.jackson.databind.node.ObjectNode
import okio.ByteString.Companion.toByteString
import org.jose4j.jws.AlgorithmIdentifiers
import org.jose4j.jwt.JwtClaims
import org.jose4j.jwt.NumericDate
import java.io.IOException
import java.util.Base64

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
 * Reads `Authorization` headers for one service, [audience]. [toleranceMs]: how far two clocks may differ. [maxLifeMs]:
 * how long a token may be good for at the most.
 */
class TokenReader(private val audience: String, private val toleranceMs: Long, private val maxLifeMs: Long) {
    /** [keyOf] gives the key of a principal by both names, or null. [wallMs]: the time of day in milliseconds. */
    fun read(authorization: String?, wallMs: Long, keyOf: (principal: String, key: String) -> PublicKey?): TokenResult {
        if (authorization == null) return TokenResult.Refused("no proof of who asks: send a signed token")
        if (authorization.length > LONGEST ||
            !authorization.startsWith(Tokens.SCHEME, ignoreCase = true)
        ) {
            return MALFORMED
        }
        val token = authorization.substring(Tokens.SCHEME.length).trim()
        val parts = token.split('.')
        val header = parts.getOrNull(0)?.let(::decode)
        val claims = parts.getOrNull(1)?.let(::decode)
        return if (parts.size != 3 ||
            header == null ||
            claims == null
        ) {
            MALFORMED
        } else {
            verify(token, header, claims, wallMs, keyOf)
        }
    }

    /**
     * Jackson rather than jose4j, whose parser takes a buffer of 32 KiB for each text: three of them for a token of 400
     * bytes, on a heap of 64 MiB. A name that stands twice is refused, since two readers could choose differently.
     */
    private fun decode(part: String): ObjectNode? = try {
        json.readTree(Base64.getUrlDecoder().decode(part)) as? ObjectNode
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: IOException) {
        null
    }

    private fun verify(
        token: String,
        header: ObjectNode,
        claims: ObjectNode,
        wallMs: Long,
        keyOf: (String, String) -> PublicKey?,
    ): TokenResult {
        // A critical header would ask for something that is not done here.
        if (header.text("alg") != AlgorithmIdentifiers.EDDSA ||
            header.text("typ") != Tokens.TYPE ||
            header.has("crit")
        ) {
            return MALFORMED
        }
        // The claims name the key's owner, so they are read before they are believed; nothing of them is used until
        // then.
        val principal = claims.text("sub")?.takeIf { it.length in 1..MAX_NAME } ?: return MALFORMED
        val kid = header.text("kid") ?: return MALFORMED
        val key = keyOf(principal, kid) ?: return UNPROVEN
        if (!key.isValidAt(wallMs, toleranceMs) || !key.hasSigned(token)) return UNPROVEN
        val meantFor = claims.get("aud")?.let { if (it.isArray && it.size() == 1) it[0] else it }
        if (meantFor?.isTextual != true ||
            meantFor.textValue() != audience
        ) {
            return TokenResult.Refused("the token is meant for another service")
        }
        return times(claims, principal, kid, wallMs)
    }

    private fun times(claims: ObjectNode, principal: String, kid: String, wallMs: Long): TokenResult {
        val issued = claims.millis("iat") ?: return MALFORMED
        val expires = claims.millis("exp") ?: return MALFORMED
        val notBefore = if (claims.has("nbf")) claims.millis("nbf") ?: return MALFORMED else issued
        val id = claims.text("jti")?.takeIf { it.length in 1..MAX_NAME } ?: return MALFORMED
        val binds = claims.text(Tokens.BINDS)
        return when {
            claims.has(Tokens.BINDS) && binds == null -> MALFORMED
            expires <= issued || expires - issued > maxLifeMs -> TokenResult.Refused(
                "the token lives longer than ${maxLifeMs / 1000} s",
            )
            maxOf(
                issued,
                notBefore,
            ) > wallMs + toleranceMs -> TokenResult.Refused("the token is not valid yet: compare the clocks")
            expires + toleranceMs <= wallMs -> TokenResult.Refused("the token has expired")
            else -> TokenResult.Proven(Claims(principal, kid, id, expires + toleranceMs, binds))
        }
    }

    private fun ObjectNode.text(name: String): String? = get(name)?.takeIf { it.isTextual }?.textValue()

    private fun ObjectNode.millis(name: String): Long? = get(name)?.takeIf {
        it.isNumber && it.doubleValue() in 0.0..LATEST_S
    }?.let { (it.doubleValue() * 1000).toLong() }

    private companion object {
        const val LONGEST = 4096
        const val MAX_NAME = 200
        const val LATEST_S = 1e11
        val json: ObjectReader = ObjectMapper().reader()
            .with(StreamReadFeature.STRICT_DUPLICATE_DETECTION).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        val MALFORMED = TokenResult.Refused("the token can't be read")

        // One sentence for every way of not being who one claims to be: which names and keys exist is nobody's
        // business.
        val UNPROVEN = TokenResult.Refused("the token proves nobody known here")
    }
}
