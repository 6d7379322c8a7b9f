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

/** Trails with which somebody has tampered. */
class AuditLogVerifierTest {
    private val key = SigningKey.generate("n0", "k1")
    private val verifier = AuditLogVerifier { node, id ->
        if (node == "n0" && id == "k1") {
            PublicKey.of("k1", key.x)
        } else {
            null
        }
    }

    private fun entry(n: Int) = AuditEntry(
        "d$n", 1_000L + n, 3, "ada", "k1", "10.0.0.0/24", "show", "job-00000${n % 7}",
        n % 3 != 0, "rule x", 2, 200, "q$n",
    )

    /** Three chains of 40 entries in segments of 4, sealed after every 10 of each. */
    private fun auditLog(): AuditLogCopy {
        val nodes = listOf("n0", "n1", "n2")
        val chains = nodes.associateWith { LinkedHashMap<Long, AuditSegment>() }
        val heads = LinkedHashMap<String, ChainHead>()
        val seals = LinkedHashMap<Long, String>()
        var sealBefore = AuditLines.START
        for (n in 0 until 40) {
            for (node in nodes) {
                val before = heads[node]?.hash ?: AuditLines.START
                val line = AuditLines.write(n.toLong(), before, node, entry(n))
                val segment = n / 4L
                val old = chains.getValue(node)[segment]
                chains.getValue(node)[segment] =
                    if (old == null) {
                        AuditSegment(n.toLong(), before, listOf(line))
                    } else {
                        old.copy(lines = old.lines + line)
                    }
                heads[node] = ChainHead(segment, n + 1L, AuditLines.hash(line))
            }
            if (n % 10 == 9) {
                val number = seals.size.toLong()
                val jws = Seals.sign(Seal(number, sealBefore, n.toLong(), 3, "n0", heads.toMap()), key)
                seals[number] = jws
                sealBefore = AuditLines.hash(jws)
            }
        }
        return AuditLogCopy(chains, seals)
    }

    private fun AuditLogCopy.with(node: String, change: (LinkedHashMap<Long, AuditSegment>) -> Unit) =
        AuditLogCopy(chains.mapValues { (n, s) -> if (n == node) LinkedHashMap(s).also(change) else s }, seals)

    private fun AuditLogCopy.withSeals(change: (LinkedHashMap<Long, String>) -> Unit) =
        AuditLogCopy(chains, LinkedHashMap(seals).also(change))

    @Test
    fun `a whole trail holds together, also with a checkpoint that was kept`() {
        val outcome = verifier.verify(auditLog(), listOf(auditLog().seals.getValue(1)))
        assertEquals(emptyList<VerificationFailure>(), outcome.failures)
        assertEquals(120L, outcome.entryCount)
        assertEquals(setOf(40L), outcome.sealedCounts.values.toSet())
    }

    /** All lines of a chain, put into segments anew as somebody would who can count, with or without links that fit. */
    private fun rebuilt(node: String, entries: List<AuditEntry>): LinkedHashMap<Long, AuditSegment> {
        var before = AuditLines.START
        val found = LinkedHashMap<Long, AuditSegment>()
        entries.chunked(4).forEachIndexed { s, some ->
            val first = before
            val lines = some.mapIndexed { n, e ->
                AuditLines.write(s * 4L + n, before, node, e).also {
                    before =
                        AuditLines.hash(it)
                }
            }
            found[s.toLong()] = AuditSegment(s * 4L, first, lines)
        }
        return found
    }

    /** Each kind of tampering at a random place; returns the tampered trail and where its first trace may show. */
    private fun tamper(kind: Int, random: Random, whole: AuditLogCopy): Pair<AuditLogCopy, Set<String>> {
        val node = "n${random.nextInt(3)}"
        val at = random.nextInt(40)
        val segment = at / 4L
        val index = at % 4
        val entries = whole.chains.getValue(node).values.flatMap { s -> s.lines.map { AuditLines.read(it).entry } }
        fun lines(change: (MutableList<String>) -> Unit) = whole.with(node) { chain ->
            val s = chain.getValue(segment)
            chain[segment] = s.copy(lines = s.lines.toMutableList().also(change))
        }
        fun entry(n: Int) = "trail of $node, entry $n"
        fun segment(n: Long) = "trail of $node, segment $n"

        /** The last entry that the first seal holds which holds entry [n]. */
        fun sealed(n: Int) = entry(n / 10 * 10 + 9)
        return when (kind) {
            // Edit: any one byte of a line, or its verdict with everything else as it was.
            0 -> lines { l ->
                val c = random.nextInt(l[index].length)
                l[index] = l[index].replaceRange(c, c + 1, if (l[index][c] == '7') "8" else "7")
            } to setOf(entry(at), entry(at + 1), segment(segment + 1))
            1 -> lines { l ->
                l[index] =
                    if ("\"ok\":1" in l[index]) {
                        l[index].replace("\"ok\":1", "\"ok\":0")
                    } else {
                        l[index].replace("\"ok\":0", "\"ok\":1")
                    }
            } to
                setOf(
                    if (at == 39) {
                        entry(39)
                    } else if (index == 3) {
                        segment(segment + 1)
                    } else {
                        entry(at + 1)
                    },
                )
            // Delete an entry, or a segment.
            2 -> lines { it.removeAt(index) } to setOf(if (index == 3 && at != 39) segment(segment + 1) else entry(at))
            3 -> whole.with(node) { it.remove(segment) } to setOf(if (segment == 9L) entry(39) else segment(segment))
            // Reorder two entries of a segment, or two segments.
            4 -> lines { l -> java.util.Collections.swap(l, index, (index + 1) % 4) } to
                setOf(entry(if (index == 3) at - 3 else at))
            5 -> ((segment + 1) % 10).let { other ->
                whole.with(node) { c ->
                    val a = c.getValue(segment)
                    c[segment] = c.getValue(other)
                    c[other] = a
                } to
                    setOf(segment(minOf(segment, other)))
            }
            // Truncate.
            6 -> whole.with(node) { c -> (segment..9).forEach { c.remove(it) } } to setOf(sealed(segment.toInt() * 4))
            // Splice: another chain's segment, or a segment of the same chain a second time.
            7 -> whole.with(node) {
                it[segment] =
                    whole.chains.getValue(if (node == "n0") "n1" else "n0").getValue(segment)
            } to
                setOf(if (segment == 0L) entry(0) else segment(segment))
            8 -> whole.with(node) { it[10] = it.getValue(segment) } to setOf(segment(10))
            // Fork: a chain that holds together by itself, without an entry or with another one.
            9 -> whole.with(node) { c ->
                c.clear()
                c.putAll(rebuilt(node, entries.filterIndexed { n, _ -> n != at }))
            } to
                setOf(sealed(at))
            10 -> whole.with(node) { c ->
                c.clear()
                c.putAll(
                    rebuilt(
                        node,
                        entries.mapIndexed { n, e ->
                            if (n == at) {
                                e.copy(principal = "eve")
                            } else {
                                e
                            }
                        },
                    ),
                )
            } to
                setOf(sealed(at))
            // The seals themselves: edited, deleted, signed by somebody else, swapped.
            11 -> random.nextInt(4).toLong().let { n ->
                whole.withSeals {
                    it[n] =
                        it.getValue(n).replaceRange(40, 41, if (it.getValue(n)[40] == 'A') "B" else "A")
                } to
                    setOf("seal $n")
            }
            12 -> random.nextInt(4).toLong().let { n -> whole.withSeals { it.remove(n) } to setOf("seal $n") }
            13 -> random.nextInt(4).toLong().let { n ->
                whole.withSeals { it[n] = Seals.sign(Seals.read(it.getValue(n)), SigningKey.generate("n0", "k1")) } to
                    setOf("seal $n")
            }
            else -> random.nextInt(3).toLong().let { n ->
                whole.withSeals {
                    val a = it.getValue(n)
                    it[n] =
                        it.getValue(n + 1)
                    it[n + 1] = a
                } to
                    setOf("seal $n")
            }
        }
    }

    /** 15 kinds, 70 places each: 1,050 tamperings. */
    @ParameterizedTest
    @ValueSource(ints = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14])
    fun `every tampering shows, at its place`(kind: Int) {
        val whole = auditLog()
        val random = Random(kind * 1000L)
        repeat(70) { n ->
            val (tampered, places) = tamper(kind, random, whole)
            // Somebody kept the last seal.
            val broken = verifier.verify(tampered, listOf(whole.seals.getValue(3))).failures
            assertTrue(broken.isNotEmpty(), "kind $kind, $n: nothing found")
            assertTrue(broken.first().place in places, "kind $kind, $n: wanted $places, found $broken")
        }
    }

    @Test
    fun `an edit is found at the entry that was edited or the one behind it`() {
        val whole = auditLog()
        for (at in 0 until 39) {
            val tampered = whole.with("n1") { c ->
                val s = c.getValue(at / 4L)
                c[at / 4L] =
                    s.copy(
                        lines = s.lines.mapIndexed { n, l ->
                            if (n == at % 4) {
                                l.replace("\"w\":\"ada\"", "\"w\":\"eve\"")
                            } else {
                                l
                            }
                        },
                    )
            }
            val place = verifier.verify(tampered).failures.first().place
            assertTrue(
                place == "trail of n1, entry ${at + 1}" || place == "trail of n1, segment ${at / 4 + 1}",
                "$at: $place",
            )
        }
    }
}
