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
 * A key, in a file or in the policy, that can't be used. Neither the text nor a cause holds any part of the key.
 */
class MalformedKeyException(val problem: String) : Exception(problem)

/**
 * One of a principal's public keys (RFC 8037). Several may be valid at the same time, so that keys can be rotated.
 */
class PublicKey private constructor(
    val id: String,
    private val point: ByteArray,
    private val sinceMs: Long,
    private val untilMs: Long,
) {
    /**
     * Whether the last part of a compact JWS is this key's signature (RFC 8032) of all before it. Bouncy Castle checks
     * it in an eighth of the time that the JDK takes where only the first compiler runs, as on the small machine.
     */
    fun hasSigned(compact: String): Boolean {
        val dot = compact.lastIndexOf('.')
        if (dot < 0) return false
        val signature = compact.substring(dot + 1).decodeBase64()?.toByteArray() ?: return false
        val signed = compact.substring(0, dot).encodeToByteArray()
        return signature.size == Ed25519.SIGNATURE_SIZE &&
            Ed25519.verify(signature, 0, point, 0, signed, 0, signed.size)
    }

    /** Whether the key is valid at [wallMs], the time of day, give or take [toleranceMs]. */
    fun isValidAt(wallMs: Long, toleranceMs: Long): Boolean =
        wallMs >= sinceMs - toleranceMs && wallMs < untilMs + toleranceMs

    companion object {
        /**
         * The key [id]. [x]: the 32 bytes of an Ed25519 public key, base64url without padding, as a JWK's `x`. Throws
         * [MalformedKeyException].
         */
        fun of(
            id: String,
            x: String,
            sinceMs: Long = Long.MIN_VALUE / 2,
            untilMs: Long = Long.MAX_VALUE / 2,
        ): PublicKey {
            if (!X.matches(x)) {
                throw MalformedKeyException("not an Ed25519 public key: 43 characters of base64url are wanted")
            }
            val point = x.decodeBase64()?.toByteArray()
            if (point == null || !Ed25519.validatePublicKeyFull(point, 0)) {
                throw MalformedKeyException("not an Ed25519 public key: no point of the curve's group")
            }
            return PublicKey(id, point, sinceMs, untilMs)
        }

        private val X = Regex("[A-Za-z0-9_-]{43}")
    }
}

/**
 * A private key as it stands in its file, a JWK:
 * `{"kty":"OKP","crv":"Ed25519","kid":"k1","sub":"meera","x":…,"d":…}`.
 */
class SigningKey private constructor(
    val principal: String,
    val id: String,
    internal val key: PrivateKey,
    val x: String,
    private val json: String,
) {
    /** The content of the key's file, private part included. */
    fun secretJson(): String = json

    override fun toString(): String = "key $id of $principal"

    companion object {
        /** A new random key of [principal]. */
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
                // Its message may quote the key.
                throw MalformedKeyException("not a JWK")
            }
            val jwk = readJwk(values)
            val principal = values["sub"] as? String ?: throw MalformedKeyException("sub: missing: whose key it is")
            val id = jwk.keyId ?: throw MalformedKeyException("kid: missing: the key's id")
            val secret = jwk.privateKey ?: throw MalformedKeyException("d: missing: the private part")
            return SigningKey(principal, id, secret, values["x"] as? String ?: "", json)
        }
    }
}

/** [payload] signed as a compact JWS of type [type]. */
fun signatureOf(payload: String, key: SigningKey, type: String): String {
    val jws = JsonWebSignature()
    jws.payload = payload
    jws.key = key.key
    jws.keyIdHeaderValue = key.id
    jws.setHeader("typ", type)
    jws.algorithmHeaderValue = AlgorithmIdentifiers.EDDSA
    return jws.compactSerialization
}

/** The library's messages quote what it could not read, which may be the key: they are not passed on as a cause. */
@Suppress("TooGenericExceptionCaught") // The library throws several kinds on values of a wrong type.
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
