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

/**
 * The claims of a verified token. [expiresMs]: the time of day, tolerance included. [binds]: the fingerprint of the
 * request that it was made for; null: none, for reading only.
 */
class Claims(val principal: String, val key: String, val id: String, val expiresMs: Long, val binds: String?)

/** The result of verifying a token. */
sealed interface TokenResult {
    class Proven(val claims: Claims) : TokenResult

    /** [reason]: one sentence for the caller that reveals nothing but what it sent. */
    class Refused(val reason: String) : TokenResult
}

/**
 * Short-lived tokens (RFC 7519, signed with Ed25519 by RFC 8037) that are bound to the one request they come with: a
 * captured one can at most repeat its owner's request. One that is bound to no request only reads.
 */
object Tokens {
    internal const val BINDS = "req"
    internal const val SCHEME = "Bearer "
    const val TYPE = "plankwall+jwt"

    /** The `Authorization` header with [token]. */
    fun authorization(token: String): String = SCHEME + token

    /** The hash of a request that a token is bound to. */
    fun fingerprintOf(method: String, path: String, body: ByteArray): String {
        // The lengths keep two different requests from having the same encoding.
        val head = "${method.length} $method ${path.length} $path ${body.size}\n".encodeToByteArray()
        return (head + body).toByteString().sha256().base64Url().trimEnd('=')
    }

    /** A signed token. [binds]: the request's fingerprint, or null for a token that only reads. [lifeS]: seconds. */
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
    /**
     * Verifies a header. [keyOf]: a principal's key by both names, or null. [wallMs]: the time of day in milliseconds.
     */
    fun read(authorization: String?, wallMs: Long, keyOf: (principal: String, key: String) -> PublicKey?): TokenResult {
        if (authorization == null) return TokenResult.Refused("no proof of who asks: send a signed token")
        val isBearer = authorization.startsWith(Tokens.SCHEME, ignoreCase = true)
        if (authorization.length > MAX_HEADER_CHARS || !isBearer) return MALFORMED
        val token = authorization.substring(Tokens.SCHEME.length).trim()
        val parts = token.split('.')
        val header = parts.getOrNull(0)?.let(::decode)
        val claims = parts.getOrNull(1)?.let(::decode)
        if (parts.size != JWS_PARTS || header == null || claims == null) return MALFORMED
        return verify(token, header, claims, wallMs, keyOf)
    }

    /**
     * Jackson rather than jose4j, whose parser takes a buffer of 32 KiB for each text, three for each token. A
     * duplicate name is refused, since two readers could choose differently.
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
        // The claims name the key's owner, so they are read before the signature is verified; nothing else of them is
        // used until then.
        val principal = claims.text("sub")?.takeIf { it.length in 1..MAX_NAME_CHARS }
        val kid = header.text("kid")
        if (!isExpectedKind(header) || principal == null || kid == null) return MALFORMED
        val key = keyOf(principal, kid)
        if (key == null || !key.isValidAt(wallMs, toleranceMs) || !key.hasSigned(token)) return UNPROVEN
        if (audienceOf(claims) != audience) return TokenResult.Refused("the token is meant for another service")
        return verifyTimes(claims, principal, kid, wallMs)
    }

    /** A critical header would require an extension that is not supported. */
    private fun isExpectedKind(header: ObjectNode): Boolean = header.text("alg") == AlgorithmIdentifiers.EDDSA &&
        header.text("typ") == Tokens.TYPE &&
        !header.has("crit")

    private fun audienceOf(claims: ObjectNode): String? = claims.get("aud")
        ?.let { if (it.isArray && it.size() == 1) it[0] else it }
        ?.takeIf { it.isTextual }?.textValue()

    private fun verifyTimes(claims: ObjectNode, principal: String, kid: String, wallMs: Long): TokenResult {
        val issued = claims.millis("iat") ?: return MALFORMED
        val expires = claims.millis("exp") ?: return MALFORMED
        val notBefore = if (claims.has("nbf")) claims.millis("nbf") ?: return MALFORMED else issued
        val id = claims.text("jti")?.takeIf { it.length in 1..MAX_NAME_CHARS } ?: return MALFORMED
        val binds = claims.text(Tokens.BINDS)
        return when {
            claims.has(Tokens.BINDS) && binds == null -> MALFORMED
            expires <= issued || expires - issued > maxLifeMs ->
                TokenResult.Refused("the token lives longer than ${maxLifeMs / 1000} s")
            maxOf(issued, notBefore) > wallMs + toleranceMs ->
                TokenResult.Refused("the token is not valid yet: compare the clocks")
            expires + toleranceMs <= wallMs -> TokenResult.Refused("the token has expired")
            else -> TokenResult.Proven(Claims(principal, kid, id, expires + toleranceMs, binds))
        }
    }

    private fun ObjectNode.text(name: String): String? = get(name)?.takeIf { it.isTextual }?.textValue()

    private fun ObjectNode.millis(name: String): Long? = get(name)
        ?.takeIf { it.isNumber && it.doubleValue() in 0.0..LATEST_S }
        ?.let { (it.doubleValue() * 1000).toLong() }

    private companion object {
        const val MAX_HEADER_CHARS = 4096
        const val MAX_NAME_CHARS = 200
        const val JWS_PARTS = 3
        const val LATEST_S = 1e11
        val json: ObjectReader = ObjectMapper().reader()
            .with(StreamReadFeature.STRICT_DUPLICATE_DETECTION).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        val MALFORMED = TokenResult.Refused("the token can't be read")

        // One sentence for every reason, so that it does not reveal which names and keys exist.
        val UNPROVEN = TokenResult.Refused("the token proves nobody known here")
    }
}
