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
 * The claims of a verified token. [keyId]: the id of the key that signed it. [expiresMs]: the wall-clock time from
 * which on it is refused, clock tolerance included. [requestFingerprint]: the fingerprint of the request that the token
 * is bound to; null if it is bound to none and permits only reads.
 */
class Claims(
    val principal: String,
    val keyId: String,
    val id: String,
    val expiresMs: Long,
    val requestFingerprint: String?,
)

/** The result of verifying a token. */
sealed interface TokenResult {
    /** A valid token. Its binding to the request is not checked yet. */
    class Proven(val claims: Claims) : TokenResult

    /** An invalid token. [reason]: one sentence for the caller, which reveals nothing but what it sent. */
    class Refused(val reason: String) : TokenResult
}

/**
 * Signs short-lived tokens (RFC 7519, with Ed25519 signatures by RFC 8037). A token is bound to the request that it is
 * sent with, so a captured one can at most repeat this request. One that is bound to no request permits only reads.
 */
object Tokens {
    /** The claim that holds the fingerprint of the request that a token is bound to. */
    internal const val FINGERPRINT_CLAIM = "req"

    /** The authentication scheme in the `Authorization` header, with the space after it. */
    internal const val SCHEME = "Bearer "

    /** The header `typ` of a token. */
    const val TYPE = "plankwall+jwt"

    /** Returns the value of the `Authorization` header for [token]. */
    fun authorization(token: String): String = SCHEME + token

    /** Returns the hash by which a token is bound to a request. */
    fun fingerprintOf(method: String, path: String, body: ByteArray): String {
        // The lengths keep two different requests from having the same encoding.
        val head = "${method.length} $method ${path.length} $path ${body.size}\n".encodeToByteArray()
        return (head + body).toByteString().sha256().base64Url().trimEnd('=')
    }

    /**
     * Signs a token that is valid for [lifetimeS] seconds from the wall-clock time [wallMs] on. [requestFingerprint]:
     * from [fingerprintOf]; null for a token that permits only reads.
     */
    fun sign(
        key: SigningKey,
        audience: String,
        id: String,
        wallMs: Long,
        lifetimeS: Int,
        requestFingerprint: String?,
    ): String {
        val claims = JwtClaims()
        claims.subject = key.principal
        claims.setAudience(audience)
        claims.jwtId = id
        claims.issuedAt = NumericDate.fromMilliseconds(wallMs)
        claims.expirationTime = NumericDate.fromMilliseconds(wallMs + lifetimeS * 1000L)
        if (requestFingerprint != null) claims.setStringClaim(FINGERPRINT_CLAIM, requestFingerprint)
        return signCompactJws(claims.toJson(), key, TYPE)
    }
}

/**
 * Verifies the tokens in `Authorization` headers. [audience]: the service that tokens must be meant for. [toleranceMs]:
 * the most that two machines' clocks may differ. [maxLifetimeMs]: the longest lifetime of a token that is accepted.
 */
class TokenReader(private val audience: String, private val toleranceMs: Long, private val maxLifetimeMs: Long) {
    /**
     * Verifies the header [authorization] at the wall-clock time [wallMs]. [keyOf]: returns a key by the name of its
     * principal and its id; null if there is none.
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
     * Decodes a part of a token as a JSON object; null if it is none. This uses Jackson instead of jose4j, whose parser
     * allocates a buffer of 32 KiB for each text, three for each token. An object with a duplicate name is refused,
     * since two parsers could choose different values for it.
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
        // The claims name the owner of the key, so the owner is read before the signature is verified. No other claim
        // is used before that.
        val principal = claims.text("sub")?.takeIf { it.length in 1..MAX_NAME_CHARS }
        val keyId = header.text("kid")
        if (!isExpectedKind(header) || principal == null || keyId == null) return MALFORMED
        val key = keyOf(principal, keyId)
        if (key == null || !key.isValidAt(wallMs, toleranceMs) || !key.hasSigned(token)) return UNPROVEN
        if (audienceOf(claims) != audience) return TokenResult.Refused("the token is meant for another service")
        return verifyTimes(claims, principal, keyId, wallMs)
    }

    /** Whether the algorithm and type are the expected ones. A header `crit` would require an unsupported extension. */
    private fun isExpectedKind(header: ObjectNode): Boolean = header.text("alg") == AlgorithmIdentifiers.EDDSA &&
        header.text("typ") == Tokens.TYPE &&
        !header.has("crit")

    /** The audience of a token; null if it names none or several. */
    private fun audienceOf(claims: ObjectNode): String? = claims.get("aud")
        ?.let { if (it.isArray && it.size() == 1) it[0] else it }
        ?.takeIf { it.isTextual }?.textValue()

    /** Checks the times of a token whose signature is valid, and that its other claims are well-formed. */
    private fun verifyTimes(claims: ObjectNode, principal: String, keyId: String, wallMs: Long): TokenResult {
        val issuedMs = claims.readMillis("iat") ?: return MALFORMED
        val expiresMs = claims.readMillis("exp") ?: return MALFORMED
        val notBeforeMs = if (claims.has("nbf")) claims.readMillis("nbf") ?: return MALFORMED else issuedMs
        val id = claims.text("jti")?.takeIf { it.length in 1..MAX_NAME_CHARS } ?: return MALFORMED
        val requestFingerprint = claims.text(Tokens.FINGERPRINT_CLAIM)
        return when {
            claims.has(Tokens.FINGERPRINT_CLAIM) && requestFingerprint == null -> MALFORMED
            expiresMs <= issuedMs || expiresMs - issuedMs > maxLifetimeMs ->
                TokenResult.Refused("the token lives longer than ${maxLifetimeMs / 1000} s")
            maxOf(issuedMs, notBeforeMs) > wallMs + toleranceMs ->
                TokenResult.Refused("the token is not valid yet: compare the clocks")
            expiresMs + toleranceMs <= wallMs -> TokenResult.Refused("the token has expired")
            else -> TokenResult.Proven(Claims(principal, keyId, id, expiresMs + toleranceMs, requestFingerprint))
        }
    }

    private fun ObjectNode.text(name: String): String? = get(name)?.takeIf { it.isTextual }?.textValue()

    /** The claim [name], a time in seconds since 1970, in milliseconds; null if it is missing or out of range. */
    private fun ObjectNode.readMillis(name: String): Long? = get(name)
        ?.takeIf { it.isNumber && it.doubleValue() in 0.0..LATEST_TIME_S }
        ?.let { (it.doubleValue() * 1000).toLong() }

    private companion object {
        const val MAX_HEADER_CHARS = 4096
        const val MAX_NAME_CHARS = 200
        const val JWS_PARTS = 3
        const val LATEST_TIME_S = 1e11
        val json: ObjectReader = ObjectMapper().reader()
            .with(StreamReadFeature.STRICT_DUPLICATE_DETECTION).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        val MALFORMED = TokenResult.Refused("the token can't be read")

        // The same sentence for every reason, so that callers don't learn which names and keys exist.
        val UNPROVEN = TokenResult.Refused("the token proves nobody known here")
    }
}
