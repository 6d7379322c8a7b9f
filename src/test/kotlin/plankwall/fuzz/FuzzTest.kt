package plankwall.fuzz

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.File
import java.util.Random

/**
 * Runs each fuzz target on its seeds, those in `src/test/resources` among them, and on a bounded number of mutations of
 * them, which are the same in every run.
 */
class FuzzTest {
    /**
     * The target `message` guards against bytes like UTF-32 of an unusual byte order: in a worker's answer they ended
     * the process, in a user's body the connection.
     */
    @ParameterizedTest
    @ValueSource(strings = ["rights", "token", "frame", "trail", "network", "message"])
    fun `a target withstands its seeds and thousands of mutations of them`(target: String) {
        val random = Random(target.hashCode().toLong())
        val corpus = File(
            checkNotNull(javaClass.getResource("JazzerFuzzInputs/$target")).toURI(),
        ).listFiles().orEmpty().sortedBy {
            it.name
        }
        assertTrue(corpus.isNotEmpty())
        val seeds = Targets.seeds(target) + corpus.map { it.readBytes() }
        seeds.forEach { Targets.run(target, it) }
        val triedHashes = HashSet<Int>()
        repeat(4_000) {
            var bytes = seeds[random.nextInt(seeds.size)]
            repeat(1 + random.nextInt(6)) { bytes = mutate(bytes, random) }
            triedHashes.add(bytes.contentHashCode())
            Targets.run(target, bytes)
        }
        assertTrue(triedHashes.size > 2_000, "${triedHashes.size} different inputs")
    }

    private fun mutate(b: ByteArray, random: Random): ByteArray {
        val start = random.nextInt(b.size + 1)
        val end = minOf(b.size, start + random.nextInt(12))
        val fragments =
            listOf(
                "(", ")", "\"", "not ", "{", "}", ";", ".", "e30", "=", "null", "-1", "99999999999999999999", "\u0000",
                "ä", "::", "/0", "..",
            )
        return when (random.nextInt(6)) {
            0 -> if (b.isEmpty()) b else b.copyOf().also { it[random.nextInt(b.size)] = random.nextInt(256).toByte() }
            1 -> b.copyOf(start)
            2 -> b.copyOfRange(0, start) + b.copyOfRange(end, b.size)
            3 -> b.copyOfRange(0, start) + fragments[random.nextInt(fragments.size)].encodeToByteArray() +
                b.copyOfRange(start, b.size)
            4 -> b.copyOfRange(0, end) + b.copyOfRange(start, b.size)
            else -> b.copyOfRange(0, start) + ByteArray(random.nextInt(40)) { '('.code.toByte() } +
                b.copyOfRange(start, b.size)
        }
    }
}
