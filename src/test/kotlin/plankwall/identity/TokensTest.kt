package plankwall.identity

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

class TokensTest {
    private val old = SigningKey.generate("ada", "old")
    private val new = SigningKey.generate("ada", "new")
    private val now = 1_700_000_000_000L
    private val hour = 3_600_000L
    private val reader = TokenReader("site", 2_000, 60_000)

    /** The old key expires in one hour, the new key becomes valid in half an hour: both are valid for half an hour. */
    private val keys = listOf(
        PublicKey.of("old", old.x, untilMs = now + hour),
        PublicKey.of(
            "new",
            new.x,
            sinceMs =
            now + hour / 2,
        ),
    )

    /** Whether the token in [header] is accepted at [wallMs] as proof of its principal. */
    private fun isProven(header: String, wallMs: Long): Boolean = reader.read(header, wallMs) { principal, keyId ->
        keys.find { principal == "ada" && it.id == keyId }
    } is TokenResult.Proven

    @ParameterizedTest(name = "{0} key in minute {1}, accepted: {2}")
    @CsvSource("old, 0, true", "new, 0, false", "old, 45, true", "new, 45, true", "old, 61, false", "new, 61, true")
    fun `a token is accepted only while its key is valid, also when the old and the new key overlap`(
        keyName: String,
        minute: Long,
        expectedProven: Boolean,
    ) {
        val wallMs = now + minute * 60_000
        assertEquals(
            expectedProven,
            isProven(
                Tokens.authorization(
                    Tokens.sign(
                        if (keyName == "old") {
                            old
                        } else {
                            new
                        },
                        "site",
                        "id",
                        wallMs,
                        30,
                        null,
                    ),
                ),
                wallMs,
            ),
        )
    }

    @ParameterizedTest(name = "reader's clock {0} ms ahead of the signing time, accepted: {1}")
    @CsvSource("0, true", "-1999, true", "-2001, false", "29999, true", "31999, true", "32000, false")
    fun `a token is accepted at most the clock tolerance before its issue time or after its expiry`(
        clockLeadMs: Long,
        expectedProven: Boolean,
    ) {
        val signedAtMs = now + hour / 2 + 60_000
        assertEquals(
            expectedProven,
            isProven(
                Tokens.authorization(Tokens.sign(new, "site", "id", signedAtMs, 30, null)),
                signedAtMs + clockLeadMs,
            ),
        )
    }

    /** Headers that an attacker may write, validly signed with a known key. The claims below are of the same kind. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            """{"alg":"none","kid":"old","typ":"plankwall+jwt"}""",
            """{"alg":"HS256","kid":"old","typ":"plankwall+jwt"}""",
            """{"alg":"EdDSA","kid":"new","typ":"plankwall+jwt"}""", """{"alg":"EdDSA","kid":"old","typ":"JWT"}""",
            """{"alg":"EdDSA","kid":"old"}""",
            """{"alg":"EdDSA","typ":"plankwall+jwt"}""",
            """{"alg":"EdDSA","kid":"old","typ":"plankwall+jwt","crit":["exp"]}""",
            """{"alg":"EdDSA","alg":"none","kid":"old","typ":"plankwall+jwt"}""",
            """{"alg":"EdDSA","kid":"old","typ":"plankwall+jwt","jwk":{"kty":"OKP"}""",
            "[]", "", "x",
        ],
    )
    fun `a token whose header lacks a field or holds a wrong, repeated or unknown one is rejected`(header: String) =
        assertEquals(false, isProven(signed(header, CLAIMS), now))

    @ParameterizedTest
    @ValueSource(
        strings = [
            """{"sub":"ada","aud":"site","jti":"a","iat":1700000000}""",
            """{"sub":"ada","aud":"site","jti":"a","exp":1700000030}""",
            """{"sub":"ada","aud":"site","iat":1700000000,"exp":1700000030}""",
            """{"aud":"site","jti":"a","iat":1700000000,"exp":1700000030}""",
            """{"sub":"ada","sub":"root","aud":"site","jti":"a","iat":1700000000,"exp":1700000030}""",
            """{"sub":"ada","aud":["site","other"],"jti":"a","iat":1700000000,"exp":1700000030}""",
            """{"sub":"ada","jti":"a","iat":1700000000,"exp":1700000030}""",
            """{"sub":"ada","aud":"site","jti":"a","iat":"now","exp":1700000030}""",
            """{"sub":["ada"],"aud":"site","jti":"a","iat":1700000000,"exp":1700000030}""",
            """{"sub":"ada","aud":"site","jti":"a","iat":1700000000,"exp":1700000090}""",
            """{"sub":"ada","aud":"site","jti":"a","iat":1700000000,"exp":1699999999}""",
            """{"sub":"ada","aud":"site","jti":"a","iat":1700000000,"exp":1700000030,"nbf":1700000020}""",
            """{"sub":"ada","aud":"site","jti":"a","iat":-9e999,"exp":9e999}""",
            """{"sub":"ada","aud":"site","jti":"a","iat":1700000000,"exp":1700000030,"req":5}""",
            "[]", "null", "",
        ],
    )
    fun `a token whose claims are missing, repeated, of a wrong type or out of range is rejected`(claims: String) =
        assertEquals(false, isProven(signed(HEADER, claims), now))

    @Test
    fun `a token with a valid header, valid claims and a valid signature is accepted`() =
        assertTrue(isProven(signed(HEADER, CLAIMS), now))

    /** Returns an authorization header with a token of [header] and [claims], signed by the old key. */
    private fun signed(header: String, claims: String): String {
        val encoder = java.util.Base64.getUrlEncoder().withoutPadding()
        val signedText =
            encoder.encodeToString(header.encodeToByteArray()) + "." +
                encoder.encodeToString(claims.encodeToByteArray())
        val signer = java.security.Signature.getInstance("Ed25519").apply { initSign(old.privateKey) }
        signer.update(signedText.encodeToByteArray())
        return "Bearer $signedText." + encoder.encodeToString(signer.sign())
    }

    @Test
    fun `requests that differ in method, path or body have different fingerprints`() {
        val fingerprints =
            listOf("GET" to "/a", "POST" to "/a", "POST" to "/a/withdraw", "POST/" to "a").flatMap { (method, path) ->
                listOf("", "b", "b ").map { Tokens.fingerprintOf(method, path, it.encodeToByteArray()) }
            }
        assertEquals(fingerprints.size, fingerprints.toSet().size)
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "AAAA", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
            "__________________________________________8",
        ],
    )
    fun `a public key that is not a valid point or has a low order is refused`(x: String) {
        assertThrows(MalformedKeyException::class.java) { PublicKey.of("k", x) }
    }

    private companion object {
        const val HEADER = """{"alg":"EdDSA","kid":"old","typ":"plankwall+jwt"}"""
        const val CLAIMS = """{"sub":"ada","aud":"site","jti":"a","iat":1700000000,"exp":1700000030}"""
    }
}
