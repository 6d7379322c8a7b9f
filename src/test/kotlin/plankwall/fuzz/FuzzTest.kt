package plankwall.fuzz

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.File
import java.util.Random

/**
 * The bounded run: seeds, those of `src/test/resources` among them, and mutations of them that are the same every time.
 */
class FuzzTest {
    @ParameterizedTest
    @ValueSource(strings = ["rights", "token", "frame", "trail", "network"])
    fun `a bounded run on mutations`(name: String) {
        val random = Random(name.hashCode().toLong())
        val corpus = File(
            checkNotNull(javaClass.getResource("JazzerFuzzInputs/$name")).toURI(),
        ).listFiles().orEmpty().sortedBy {
            it.name
        }
        assertTrue(corpus.isNotEmpty())
        val seeds = Targets.seeds(name) + corpus.map { it.readBytes() }
        seeds.forEach { Targets.run(name, it) }
        val tried = HashSet<Int>()
        repeat(4_000) {
            var bytes = seeds[random.nextInt(seeds.size)]
            repeat(1 + random.nextInt(6)) { bytes = mutate(bytes, random) }
            tried.add(bytes.contentHashCode())
            Targets.run(name, bytes)
        }
        assertTrue(tried.size > 2_000, "${tried.size} different inputs")
    }

    private fun mutate(b: ByteArray, random: Random): ByteArray {
        val at = random.nextInt(b.size + 1)
        val end = minOf(b.size, at + random.nextInt(12))
        val words =
            listOf(
                "(", ")", "\"", "not ", "{", "}", ";", ".", "e30", "=", "null", "-1", "99999999999999999999", "\u0000",
                "ä", "::", "/0", "..",
            )
        return when (random.nextInt(6)) {
            0 -> if (b.isEmpty()) b else b.copyOf().also { it[random.nextInt(b.size)] = random.nextInt(256).toByte() }
            1 -> b.copyOf(at)
            2 -> b.copyOfRange(0, at) + b.copyOfRange(end, b.size)
            3 -> b.copyOfRange(0, at) + words[random.nextInt(words.size)].encodeToByteArray() +
                b.copyOfRange(at, b.size)
            4 -> b.copyOfRange(0, end) + b.copyOfRange(at, b.size)
            else -> b.copyOfRange(0, at) + ByteArray(random.nextInt(40)) { '('.code.toByte() } +
                b.copyOfRange(at, b.size)
        }
    }
}
