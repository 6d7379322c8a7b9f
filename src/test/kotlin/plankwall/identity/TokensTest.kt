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

    /** The old key runs out an hour from now, the new one holds from half an hour before that. */
    private val keys = listOf(
        PublicKey.of("old", old.x, untilMs = now + hour),
        PublicKey.of(
            "new",
            new.x,
            sinceMs =
            now + hour / 2,
        ),
    )

    private fun proven(header: String, at: Long): Boolean =
        reader.read(header, at) { who, id -> keys.find { who == "ada" && it.id == id } } is TokenResult.Proven

    @ParameterizedTest(name = "{0} key, minute {1}: {2}")
    @CsvSource("old, 0, true", "new, 0, false", "old, 45, true", "new, 45, true", "old, 61, false", "new, 61, true")
    fun `one key replaces another with an overlap`(which: String, minute: Long, good: Boolean) {
        val at = now + minute * 60_000
        assertEquals(
            good,
            proven(
                Tokens.authorization(
                    Tokens.sign(
                        if (which == "old") {
                            old
                        } else {
                            new
                        },
                        "site",
                        "id",
                        at,
                        30,
                        null,
                    ),
                ),
                at,
            ),
        )
    }

    @ParameterizedTest(name = "clock {0} ms ahead of the token: {1}")
    @CsvSource("0, true", "-1999, true", "-2001, false", "29999, true", "31999, true", "32000, false")
    fun `two clocks may differ by the tolerance, and no more`(ahead: Long, good: Boolean) {
        val at = now + hour / 2 + 60_000
        assertEquals(good, proven(Tokens.authorization(Tokens.sign(new, "site", "id", at, 30, null)), at + ahead))
    }

    /** Headers and claims as a stranger may write them, signed by a key that is known all the same. */
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
    fun `a header that is not exactly right proves nothing`(header: String) =
        assertEquals(false, proven(signed(header, CLAIMS), now))

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
    fun `claims that are not exactly right prove nothing`(claims: String) =
        assertEquals(false, proven(signed(HEADER, claims), now))

    @Test
    fun `what is exactly right does`() = assertTrue(proven(signed(HEADER, CLAIMS), now))

    private fun signed(header: String, claims: String): String {
        val coder = java.util.Base64.getUrlEncoder().withoutPadding()
        val text =
            coder.encodeToString(header.encodeToByteArray()) + "." + coder.encodeToString(claims.encodeToByteArray())
        val signer = java.security.Signature.getInstance("Ed25519").apply { initSign(old.privateKey) }
        signer.update(text.encodeToByteArray())
        return "Bearer $text." + coder.encodeToString(signer.sign())
    }

    @Test
    fun `two requests have two fingerprints`() {
        val all = listOf("GET" to "/a", "POST" to "/a", "POST" to "/a/withdraw", "POST/" to "a").flatMap { (m, p) ->
            listOf("", "b", "b ").map { Tokens.fingerprintOf(m, p, it.encodeToByteArray()) }
        }
        assertEquals(all.size, all.toSet().size)
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "AAAA", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
            "__________________________________________8",
        ],
    )
    fun `a point that anybody could sign for is no key`(x: String) {
        assertThrows(MalformedKeyException::class.java) { PublicKey.of("k", x) }
    }

    private companion object {
        const val HEADER = """{"alg":"EdDSA","kid":"old","typ":"plankwall+jwt"}"""
        const val CLAIMS = """{"sub":"ada","aud":"site","jti":"a","iat":1700000000,"exp":1700000030}"""
    }
}
