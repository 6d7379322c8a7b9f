package plankwall.audit

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import plankwall.identity.PublicKey
import plankwall.identity.SigningKey
import plankwall.wire.AuditSegment
import java.util.Random

/** Tests that the verifier accepts an intact audit log and reports every kind of tampering at the right place. */
class AuditLogVerifierTest {
    private val key = SigningKey.generate("n0", "k1")
    private val verifier = AuditLogVerifier { node, id ->
        if (node == "n0" && id == "k1") {
            PublicKey.of("k1", key.x)
        } else {
            null
        }
    }

    private fun entry(number: Int) = AuditEntry(
        "d$number", 1_000L + number, 3, "ada", "k1", "10.0.0.0/24", "show", "job-00000${number % 7}",
        number % 3 != 0, "rule x", 2, 200, "q$number",
    )

    /**
     * Returns a log of three chains of 40 entries in segments of 4, with a seal after every 10 entries of each chain.
     */
    private fun auditLog(): AuditLogCopy {
        val nodes = listOf("n0", "n1", "n2")
        val chains = nodes.associateWith { LinkedHashMap<Long, AuditSegment>() }
        val heads = LinkedHashMap<String, ChainHead>()
        val seals = LinkedHashMap<Long, String>()
        var previousSealHash = AuditLines.START
        for (n in 0 until 40) {
            for (node in nodes) {
                val previousHash = heads[node]?.hash ?: AuditLines.START
                val line = AuditLines.write(n.toLong(), previousHash, node, entry(n))
                val segmentNumber = n / 4L
                val existingSegment = chains.getValue(node)[segmentNumber]
                chains.getValue(node)[segmentNumber] =
                    if (existingSegment == null) {
                        AuditSegment(n.toLong(), previousHash, listOf(line))
                    } else {
                        existingSegment.copy(lines = existingSegment.lines + line)
                    }
                heads[node] = ChainHead(segmentNumber, n + 1L, AuditLines.hash(line))
            }
            if (n % 10 == 9) {
                val number = seals.size.toLong()
                val jws = Seals.sign(Seal(number, previousSealHash, n.toLong(), 3, "n0", heads.toMap()), key)
                seals[number] = jws
                previousSealHash = AuditLines.hash(jws)
            }
        }
        return AuditLogCopy(chains, seals)
    }

    /** Returns a copy of the log in which [change] was applied to the chain of [node]. */
    private fun AuditLogCopy.withChain(node: String, change: (LinkedHashMap<Long, AuditSegment>) -> Unit) =
        AuditLogCopy(
            chains.mapValues { (chainNode, segments) ->
                if (chainNode == node) LinkedHashMap(segments).also(change) else segments
            },
            seals,
        )

    private fun AuditLogCopy.withSeals(change: (LinkedHashMap<Long, String>) -> Unit) =
        AuditLogCopy(chains, LinkedHashMap(seals).also(change))

    @Test
    fun `an intact audit log is verified without a failure, also against a checkpoint`() {
        val outcome = verifier.verify(auditLog(), listOf(auditLog().seals.getValue(1)))
        assertEquals(emptyList<VerificationFailure>(), outcome.failures)
        assertEquals(120L, outcome.entryCount)
        assertEquals(setOf(40L), outcome.sealedCounts.values.toSet())
    }

    /** Returns a forged chain of [entries] whose segments, numbers and hashes are consistent with each other. */
    private fun forgedChain(node: String, entries: List<AuditEntry>): LinkedHashMap<Long, AuditSegment> {
        var previousHash = AuditLines.START
        val chain = LinkedHashMap<Long, AuditSegment>()
        entries.chunked(4).forEachIndexed { segmentNumber, segmentEntries ->
            val hashBeforeSegment = previousHash
            val lines = segmentEntries.mapIndexed { index, entry ->
                AuditLines.write(segmentNumber * 4L + index, previousHash, node, entry).also {
                    previousHash =
                        AuditLines.hash(it)
                }
            }
            chain[segmentNumber.toLong()] = AuditSegment(segmentNumber * 4L, hashBeforeSegment, lines)
        }
        return chain
    }

    /**
     * Returns a copy of the log [intact] with tampering of the given [kind] at a random place, and the places at one of
     * which the verifier must report its first failure.
     */
    private fun tamper(kind: Int, random: Random, intact: AuditLogCopy): Pair<AuditLogCopy, Set<String>> {
        val node = "n${random.nextInt(3)}"
        val entryNumber = random.nextInt(40)
        val segmentNumber = entryNumber / 4L
        val index = entryNumber % 4
        val entries =
            intact.chains.getValue(node).values.flatMap { segment -> segment.lines.map { AuditLines.read(it).entry } }
        fun editLines(change: (MutableList<String>) -> Unit) = intact.withChain(node) { chain ->
            val segment = chain.getValue(segmentNumber)
            chain[segmentNumber] = segment.copy(lines = segment.lines.toMutableList().also(change))
        }
        fun entryPlace(number: Int) = "trail of $node, entry $number"
        fun segmentPlace(number: Long) = "trail of $node, segment $number"

        /** Returns the place of the last entry under the first seal that covers entry [number]. */
        fun sealed(number: Int) = entryPlace(number / 10 * 10 + 9)
        return when (kind) {
            // An edited line: one byte, or only its verdict.
            0 -> editLines { lines ->
                val position = random.nextInt(lines[index].length)
                lines[index] =
                    lines[index].replaceRange(position, position + 1, if (lines[index][position] == '7') "8" else "7")
            } to setOf(entryPlace(entryNumber), entryPlace(entryNumber + 1), segmentPlace(segmentNumber + 1))
            1 -> editLines { lines ->
                lines[index] =
                    if ("\"ok\":1" in lines[index]) {
                        lines[index].replace("\"ok\":1", "\"ok\":0")
                    } else {
                        lines[index].replace("\"ok\":0", "\"ok\":1")
                    }
            } to
                setOf(
                    if (entryNumber == 39) {
                        entryPlace(39)
                    } else if (index == 3) {
                        segmentPlace(segmentNumber + 1)
                    } else {
                        entryPlace(entryNumber + 1)
                    },
                )
            // A deleted entry or segment.
            2 -> editLines { it.removeAt(index) } to
                setOf(if (index == 3 && entryNumber != 39) segmentPlace(segmentNumber + 1) else entryPlace(entryNumber))
            3 -> intact.withChain(node) { it.remove(segmentNumber) } to
                setOf(if (segmentNumber == 9L) entryPlace(39) else segmentPlace(segmentNumber))
            // Two entries of a segment, or two segments, swapped.
            4 -> editLines { lines -> java.util.Collections.swap(lines, index, (index + 1) % 4) } to
                setOf(entryPlace(if (index == 3) entryNumber - 3 else entryNumber))
            5 -> ((segmentNumber + 1) % 10).let { otherNumber ->
                intact.withChain(node) { chain ->
                    val movedSegment = chain.getValue(segmentNumber)
                    chain[segmentNumber] = chain.getValue(otherNumber)
                    chain[otherNumber] = movedSegment
                } to
                    setOf(segmentPlace(minOf(segmentNumber, otherNumber)))
            }
            // A truncated chain.
            6 -> intact.withChain(node) { chain -> (segmentNumber..9).forEach { chain.remove(it) } } to
                setOf(sealed(segmentNumber.toInt() * 4))
            // A spliced chain: it holds a segment of another chain, or one of its own segments a second time.
            7 -> intact.withChain(node) {
                it[segmentNumber] =
                    intact.chains.getValue(if (node == "n0") "n1" else "n0").getValue(segmentNumber)
            } to
                setOf(if (segmentNumber == 0L) entryPlace(0) else segmentPlace(segmentNumber))
            8 -> intact.withChain(node) { it[10] = it.getValue(segmentNumber) } to setOf(segmentPlace(10))
            // A forged chain that is consistent by itself, but lacks an entry or holds a changed one.
            9 -> intact.withChain(node) { chain ->
                chain.clear()
                chain.putAll(forgedChain(node, entries.filterIndexed { number, _ -> number != entryNumber }))
            } to
                setOf(sealed(entryNumber))
            10 -> intact.withChain(node) { chain ->
                chain.clear()
                chain.putAll(
                    forgedChain(
                        node,
                        entries.mapIndexed { number, entry ->
                            if (number == entryNumber) {
                                entry.copy(principal = "eve")
                            } else {
                                entry
                            }
                        },
                    ),
                )
            } to
                setOf(sealed(entryNumber))
            // Seals: edited, deleted, signed with another key, swapped.
            11 -> random.nextInt(4).toLong().let { sealNumber ->
                intact.withSeals {
                    it[sealNumber] =
                        it.getValue(sealNumber)
                            .replaceRange(40, 41, if (it.getValue(sealNumber)[40] == 'A') "B" else "A")
                } to
                    setOf("seal $sealNumber")
            }
            12 -> random.nextInt(4).toLong().let { sealNumber ->
                intact.withSeals { it.remove(sealNumber) } to setOf("seal $sealNumber")
            }
            13 -> random.nextInt(4).toLong().let { sealNumber ->
                intact.withSeals {
                    it[sealNumber] = Seals.sign(Seals.read(it.getValue(sealNumber)), SigningKey.generate("n0", "k1"))
                } to
                    setOf("seal $sealNumber")
            }
            else -> random.nextInt(3).toLong().let { sealNumber ->
                intact.withSeals {
                    val movedSeal = it.getValue(sealNumber)
                    it[sealNumber] = it.getValue(sealNumber + 1)
                    it[sealNumber + 1] = movedSeal
                } to
                    setOf("seal $sealNumber")
            }
        }
    }

    /** 15 kinds of tampering at 70 random places each, 1,050 in all. */
    @ParameterizedTest
    @ValueSource(ints = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14])
    fun `a tampered audit log is rejected at the place of the tampering`(kind: Int) {
        val intact = auditLog()
        val random = Random(kind * 1000L)
        repeat(70) { round ->
            val (tampered, expectedPlaces) = tamper(kind, random, intact)
            // The last seal was kept elsewhere and serves as the checkpoint.
            val broken = verifier.verify(tampered, listOf(intact.seals.getValue(3))).failures
            assertTrue(broken.isNotEmpty(), "kind $kind, round $round: nothing found")
            assertTrue(
                broken.first().place in expectedPlaces,
                "kind $kind, round $round: wanted $expectedPlaces, found $broken",
            )
        }
    }

    @Test
    fun `an edited entry is reported at the entry or segment that follows it`() {
        val intact = auditLog()
        for (entryNumber in 0 until 39) {
            val tampered = intact.withChain("n1") { chain ->
                val segment = chain.getValue(entryNumber / 4L)
                chain[entryNumber / 4L] =
                    segment.copy(
                        lines = segment.lines.mapIndexed { index, line ->
                            if (index == entryNumber % 4) {
                                line.replace("\"w\":\"ada\"", "\"w\":\"eve\"")
                            } else {
                                line
                            }
                        },
                    )
            }
            val place = verifier.verify(tampered).failures.first().place
            assertTrue(
                place == "trail of n1, entry ${entryNumber + 1}" ||
                    place == "trail of n1, segment ${entryNumber / 4 + 1}",
                "$entryNumber: $place",
            )
        }
    }
}
