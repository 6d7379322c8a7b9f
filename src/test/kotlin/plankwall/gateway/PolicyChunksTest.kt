package plankwall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import plankwall.model.StateLimits
import plankwall.wire.RightsPart
import plankwall.wire.StateCodec

/** Tests how the text of a policy is split over stored values. */
class PolicyChunksTest {
    /** Guards against a policy that can't be published: characters beyond U+FFFF take twelve bytes in a stored value. */
    @ParameterizedTest
    @ValueSource(strings = ["a", "\u00e9", "\u4e2d", "\uD83D\uDE80", "\u0001", "\n", "a\uD83D\uDE80"])
    fun `each chunk fits a stored value, and the chunks are the whole text`(character: String) {
        val limits = StateLimits(rps = 250.0, writeRps = 70.0, valueKb = 2.0, txnOps = 10)
        val text = character.repeat(3_000)
        val chunks = PolicyChunks(limits).split(text)
        assertEquals(text, chunks.joinToString(""))
        val oversized = chunks.filter { StateCodec.sizeOf(RightsPart(it)) > limits.valueKb * 1024 }
        assertEquals(0, oversized.size)
    }
}
