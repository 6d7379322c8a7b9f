package plankwall.identity

import okio.ByteString.Companion.decodeBase64
import org.bouncycastle.math.ec.rfc8032.Ed25519
import org.jose4j.json.JsonUtil
import org.jose4j.jwk.JsonWebKey
import org.jose4j.jwk.OctetKeyPairJsonWebKey
import org.jose4j.jwk.OkpJwkGenerator
import org.jose4j.jwk.PublicJsonWebKey
import org.jose4j.jws.AlgorithmIdentifiers
import org.jose4j.jws.JsonWebSignature
import org.jose4j.lang.JoseException
import java.security.PrivateKey

/**
 * Reports that a key in a file or in the policy can't be used. Neither [problem] nor a cause contains any part of the
 * key.
 */
class MalformedKeyException(val problem: String) : Exception(problem)

/**
 * One of the Ed25519 public keys of a principal (RFC 8037). Several may be valid at the same time, so that keys can be
 * rotated.
 */
class PublicKey private constructor(
    val id: String,
    private val point: ByteArray,
    private val sinceMs: Long,
    private val untilMs: Long,
) {
    /**
     * Whether the last part of [compactJws] is this key's signature (RFC 8032) of everything before it. Bouncy Castle
     * verifies a signature in an eighth of the time that the JDK takes when only the JVM's first compiler (C1) runs, as
     * on the small machine.
     */
    fun hasSigned(compactJws: String): Boolean {
        val dot = compactJws.lastIndexOf('.')
        if (dot < 0) return false
        val signature = compactJws.substring(dot + 1).decodeBase64()?.toByteArray() ?: return false
        val signed = compactJws.substring(0, dot).encodeToByteArray()
        return signature.size == Ed25519.SIGNATURE_SIZE &&
            Ed25519.verify(signature, 0, point, 0, signed, 0, signed.size)
    }

    /** Whether the key is valid at the wall-clock time [wallMs], extended by [toleranceMs] at both ends. */
    fun isValidAt(wallMs: Long, toleranceMs: Long): Boolean =
        wallMs >= sinceMs - toleranceMs && wallMs < untilMs + toleranceMs

    companion object {
        /**
         * Creates the key [id]. [x]: the 32 bytes of an Ed25519 public key in base64url without padding, as the member
         * `x` of a JWK holds them. The key is valid from [sinceMs] until before [untilMs], in milliseconds since 1970.
         * Throws [MalformedKeyException].
         */
        fun of(
            id: String,
            x: String,
            sinceMs: Long = Long.MIN_VALUE / 2,
            untilMs: Long = Long.MAX_VALUE / 2,
        ): PublicKey {
            if (!X_PATTERN.matches(x)) {
                throw MalformedKeyException("not an Ed25519 public key: 43 characters of base64url are expected")
            }
            val point = x.decodeBase64()?.toByteArray()
            if (point == null || !Ed25519.validatePublicKeyFull(point, 0)) {
                throw MalformedKeyException("not an Ed25519 public key: it is not a point of the curve's group")
            }
            return PublicKey(id, point, sinceMs, untilMs)
        }

        private val X_PATTERN = Regex("[A-Za-z0-9_-]{43}")
    }
}

/**
 * A private key of [principal], with the content of its file, a JWK such as
 * `{"kty":"OKP","crv":"Ed25519","kid":"k1","sub":"meera","x":…,"d":…}`.
 */
class SigningKey private constructor(
    val principal: String,
    val id: String,
    internal val privateKey: PrivateKey,
    val x: String,
    private val json: String,
) {
    /** Returns the content of the key's file, which includes the private key. */
    fun secretJson(): String = json

    override fun toString(): String = "key $id of $principal"

    companion object {
        /** Generates a random key of [principal]. */
        fun generate(principal: String, id: String): SigningKey {
            val jwk = OkpJwkGenerator.generateJwk(OctetKeyPairJsonWebKey.SUBTYPE_ED25519)
            jwk.keyId = id
            jwk.setOtherParameter("sub", principal)
            return parse(jwk.toJson(JsonWebKey.OutputControlLevel.INCLUDE_PRIVATE))
        }

        /** Reads the content of a key file. Throws [MalformedKeyException]. */
        fun parse(json: String): SigningKey {
            val values = try {
                JsonUtil.parseJson(json)
            } catch (_: JoseException) {
                // The message of the exception may quote the key, so it is not passed on.
                throw MalformedKeyException("not a JWK")
            }
            val jwk = readJwk(values)
            val principal = values["sub"] as? String ?: throw MalformedKeyException("sub: missing: whose key it is")
            val id = jwk.keyId ?: throw MalformedKeyException("kid: missing: the key's id")
            val privateKey = jwk.privateKey ?: throw MalformedKeyException("d: missing: the private part")
            return SigningKey(principal, id, privateKey, values["x"] as? String ?: "", json)
        }
    }
}

/** Signs [payload] with [key] and returns it as a compact JWS whose header `typ` is [type]. */
fun signCompactJws(payload: String, key: SigningKey, type: String): String {
    val jws = JsonWebSignature()
    jws.payload = payload
    jws.key = key.privateKey
    jws.keyIdHeaderValue = key.id
    jws.setHeader("typ", type)
    jws.algorithmHeaderValue = AlgorithmIdentifiers.EDDSA
    return jws.compactSerialization
}

/**
 * Reads an Ed25519 key from the members of a JWK. The exceptions of the library are not passed on as a cause, since
 * their messages quote what could not be read, which may be the private key.
 */
@Suppress("TooGenericExceptionCaught") // The library throws various unchecked exceptions.
private fun readJwk(values: Map<String, Any?>): PublicJsonWebKey = try {
    val jwk = PublicJsonWebKey.Factory.newPublicJwk(values)
    if (jwk !is OctetKeyPairJsonWebKey || values["crv"] != OctetKeyPairJsonWebKey.SUBTYPE_ED25519) {
        throw MalformedKeyException("not an Ed25519 key")
    }
    jwk
} catch (_: JoseException) {
    throw MalformedKeyException("not an Ed25519 key")
} catch (_: RuntimeException) {
    throw MalformedKeyException("not an Ed25519 key")
}
