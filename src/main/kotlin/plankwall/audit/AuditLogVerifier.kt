package plankwall.audit

import plankwall.identity.PublicKey
import plankwall.wire.AuditSegment

/** Something that is not as it was written. [place]: the first link at which it shows. */
data class VerificationFailure(val place: String, val what: String) {
    override fun toString(): String = "$place: $what"
}

/** All that a trail consists of, as read from the state service or from an export. */
class AuditLogCopy(val chains: Map<String, Map<Long, AuditSegment>>, val seals: Map<Long, String>)

/**
 * Checks a whole trail: that each chain's entries follow from each other, that the seals do, that they are signed, and
 * that the chains hold what the seals say. Knows nothing of how a trail is written but the format.
 */
class AuditLogVerifier(private val keyOf: (node: String, key: String) -> PublicKey?) {
    class Outcome(val broken: List<VerificationFailure>, val entries: Long, val sealed: Map<String, Long>)

    /** [checkpoints]: seals that somebody kept; the trail must still hold what they say. */
    fun verify(auditLog: AuditLogCopy, checkpoints: List<String> = emptyList()): Outcome {
        val broken = ArrayList<VerificationFailure>()
        val hashes = auditLog.chains.mapValues { (node, segments) -> chain(node, segments, broken) }
        val sealed = seals(auditLog.seals, hashes, broken)
        checkpoints.forEachIndexed { n, jws -> kept("checkpoint ${n + 1}", jws, auditLog.seals, hashes, broken) }
        return Outcome(broken, hashes.values.sumOf { it.size.toLong() }, sealed)
    }

    /** The hashes of a chain's entries up to the first broken link. */
    private fun chain(
        node: String,
        segments: Map<Long, AuditSegment>,
        broken: MutableList<VerificationFailure>,
    ): List<String> {
        val hashes = ArrayList<String>()
        var before = AuditLines.START
        for (number in 0 until segments.size.toLong()) {
            val segment = segments[number]
            val place = "trail of $node, segment $number"
            if (segment == null) {
                broken.add(VerificationFailure(place, "missing"))
                return hashes
            }
            if (segment.first != hashes.size.toLong() || segment.before != before || segment.lines.isEmpty()) {
                broken.add(VerificationFailure(place, "does not follow from the segment before it"))
                return hashes
            }
            for (text in segment.lines) {
                val wrong = wrongWith(text, hashes.size.toLong(), before, node)
                if (wrong != null) {
                    broken.add(VerificationFailure("trail of $node, entry ${hashes.size}", wrong))
                    return hashes
                }
                before = AuditLines.hash(text)
                hashes.add(before)
            }
        }
        return hashes
    }

    private fun wrongWith(text: String, number: Long, before: String, node: String): String? = try {
        val line = AuditLines.read(text)
        when {
            line.node != node -> "was written by ${line.node}"
            line.number != number -> "has number ${line.number}"
            line.before != before -> "does not follow from the entry before it"
            else -> null
        }
    } catch (e: MalformedAuditLineException) {
        "can't be read: ${e.message}"
    }

    private fun seals(
        seals: Map<Long, String>,
        hashes: Map<String, List<String>>,
        broken: MutableList<VerificationFailure>,
    ): Map<String, Long> {
        var before = AuditLines.START
        var heads: Map<String, ChainHead> = emptyMap()
        for (number in 0 until seals.size.toLong()) {
            val place = "seal $number"
            val jws = seals[number]
            val wrong = if (jws == null) "missing" else sealWrong(jws, number, before, heads)
            if (jws == null || wrong != null) {
                broken.add(VerificationFailure(place, wrong ?: "missing"))
                return heads.mapValues { it.value.next }
            }
            before = AuditLines.hash(jws)
            val newer = Seals.read(jws).heads
            compare(place, newer, hashes, broken)
            heads = newer
        }
        return heads.mapValues { it.value.next }
    }

    private fun sealWrong(jws: String, number: Long, before: String, earlier: Map<String, ChainHead>): String? = try {
        val seal = Seals.read(jws)
        when {
            !Seals.isSigned(jws, keyOf) -> "is not signed by ${seal.by}"
            seal.number != number -> "has number ${seal.number}"
            seal.before != before -> "does not follow from the seal before it"
            earlier.any { (node, h) -> (seal.heads[node]?.next ?: -1) < h.next } -> "says less than the seal before it"
            else -> null
        }
    } catch (e: MalformedAuditLineException) {
        "can't be read: ${e.message}"
    }

    private fun compare(
        place: String,
        heads: Map<String, ChainHead>,
        hashes: Map<String, List<String>>,
        broken: MutableList<VerificationFailure>,
    ) {
        for ((node, head) in heads) {
            val chain = hashes[node].orEmpty()
            val there = chain.getOrNull((head.next - 1).toInt())
            val name = "trail of $node, entry ${head.next - 1}"
            // What lies behind the first broken link of a chain has been told already.
            if (broken.any { it.place.startsWith("trail of $node,") }) continue
            if (there ==
                null
            ) {
                broken.add(
                    VerificationFailure(name, "missing, though $place holds it; the chain ends after ${chain.size}"),
                )
            } else if (there != head.hash) {
                broken.add(VerificationFailure(name, "is not the one that $place holds"))
            }
        }
    }

    private fun kept(
        name: String,
        jws: String,
        seals: Map<Long, String>,
        hashes: Map<String, List<String>>,
        broken: MutableList<VerificationFailure>,
    ) {
        val seal = try {
            Seals.read(jws)
        } catch (e: MalformedAuditLineException) {
            broken.add(VerificationFailure(name, "can't be read: ${e.message}"))
            return
        }
        val there = seals[seal.number]
        when {
            !Seals.isSigned(jws, keyOf) -> broken.add(VerificationFailure(name, "is not signed by ${seal.by}"))
            there == null -> broken.add(
                VerificationFailure("seal ${seal.number}", "missing, though it is the kept $name"),
            )
            there != jws -> broken.add(VerificationFailure("seal ${seal.number}", "is not the kept $name"))
        }
        compare("the kept $name", seal.heads, hashes, broken)
    }
}
