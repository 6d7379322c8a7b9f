package plankwall.audit

import plankwall.identity.PublicKey
import plankwall.wire.AuditSegment

/** A failed check. [place]: the first entry, segment or seal at which the [problem] shows. */
data class VerificationFailure(val place: String, val problem: String) {
    override fun toString(): String = "$place: $problem"
}

/**
 * A complete copy of an audit log, from the state service or an export: segments by node and number, seals by number.
 */
class AuditLogCopy(val chains: Map<String, Map<Long, AuditSegment>>, val seals: Map<Long, String>)

/**
 * Verifies a complete audit log: that the entries of each chain and the seals form unbroken hash chains, that the seals
 * are signed, and that the chains hold the entries that the seals name. It shares only the format with the writer.
 * [keyOf]: returns a public key of a node by its id, or null.
 */
class AuditLogVerifier(private val keyOf: (node: String, key: String) -> PublicKey?) {
    /**
     * The result of a verification. [failures]: the failed checks. [entryCount]: the number of verified entries.
     * [sealedCounts]: the number of entries of each node that a seal covers.
     */
    class Outcome(val failures: List<VerificationFailure>, val entryCount: Long, val sealedCounts: Map<String, Long>)

    /** Verifies [auditLog]. [checkpoints]: seals that were kept elsewhere; the log must still hold what they name. */
    fun verify(auditLog: AuditLogCopy, checkpoints: List<String> = emptyList()): Outcome =
        Verification(auditLog).run(checkpoints)

    private inner class Verification(private val auditLog: AuditLogCopy) {
        private val failures = ArrayList<VerificationFailure>()

        /** The hashes of each chain's entries up to its first broken link. */
        private val hashes = auditLog.chains.mapValues { (node, segments) -> checkChain(node, segments) }

        fun run(checkpoints: List<String>): Outcome {
            val sealed = checkSeals()
            checkpoints.forEachIndexed { index, jws -> checkKeptSeal("checkpoint ${index + 1}", jws) }
            return Outcome(failures, hashes.values.sumOf { it.size.toLong() }, sealed)
        }

        private fun fail(place: String, problem: String) {
            failures.add(VerificationFailure(place, problem))
        }

        /** Returns the hashes of a chain's entries up to its first broken link, which is reported. */
        private fun checkChain(node: String, segments: Map<Long, AuditSegment>): List<String> {
            val chain = ArrayList<String>()
            for (number in 0 until segments.size.toLong()) {
                val place = "trail of $node, segment $number"
                val segment = segments[number]
                if (segment == null) {
                    fail(place, "missing")
                    return chain
                }
                val before = chain.lastOrNull() ?: AuditLines.START
                if (segment.first != chain.size.toLong() || segment.before != before || segment.lines.isEmpty()) {
                    fail(place, "does not follow from the segment before it")
                    return chain
                }
                if (!checkLines(node, segment.lines, chain)) return chain
            }
            return chain
        }

        /** Appends the hashes of [lines] to [chain]; returns false at the first broken link, which is reported. */
        private fun checkLines(node: String, lines: List<String>, chain: MutableList<String>): Boolean {
            for (text in lines) {
                val problem = findLineProblem(text, chain.size.toLong(), chain.lastOrNull() ?: AuditLines.START, node)
                if (problem != null) {
                    fail("trail of $node, entry ${chain.size}", problem)
                    return false
                }
                chain.add(AuditLines.hash(text))
            }
            return true
        }

        /** Returns the problem with the line [text], or null if the line is valid. */
        private fun findLineProblem(text: String, number: Long, before: String, node: String): String? = try {
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

        /** Verifies the seals. Returns the number of entries of each chain that the last valid seal covers. */
        private fun checkSeals(): Map<String, Long> {
            var before = AuditLines.START
            var heads: Map<String, ChainHead> = emptyMap()
            for (number in 0 until auditLog.seals.size.toLong()) {
                val place = "seal $number"
                val jws = auditLog.seals[number]
                val problem = if (jws == null) "missing" else findSealProblem(jws, number, before, heads)
                if (jws == null || problem != null) {
                    fail(place, problem ?: "missing")
                    break
                }
                before = AuditLines.hash(jws)
                heads = Seals.read(jws).heads
                checkHeads(place, heads)
            }
            return heads.mapValues { it.value.next }
        }

        /**
         * Returns the problem with a seal, or null if the seal is valid. [earlier]: the heads in the seal before it.
         */
        private fun findSealProblem(
            jws: String,
            number: Long,
            before: String,
            earlier: Map<String, ChainHead>,
        ): String? = try {
            val seal = Seals.read(jws)
            val coversFewerEntries = earlier.any { (node, head) -> (seal.heads[node]?.next ?: -1) < head.next }
            when {
                !Seals.isSigned(jws, keyOf) -> "is not signed by ${seal.by}"
                seal.number != number -> "has number ${seal.number}"
                seal.before != before -> "does not follow from the seal before it"
                coversFewerEntries -> "says less than the seal before it"
                else -> null
            }
        } catch (e: MalformedAuditLineException) {
            "can't be read: ${e.message}"
        }

        /** Checks that the chains hold the [heads] that the seal at [place] names. */
        private fun checkHeads(place: String, heads: Map<String, ChainHead>) {
            for ((node, head) in heads) {
                // A chain with a broken link is reported already, and the entries after the link are not verified.
                if (failures.any { it.place.startsWith("trail of $node,") }) continue
                val chain = hashes[node].orEmpty()
                val storedHash = chain.getOrNull((head.next - 1).toInt())
                val entryPlace = "trail of $node, entry ${head.next - 1}"
                when (storedHash) {
                    null -> fail(entryPlace, "missing, though $place holds it; the chain ends after ${chain.size}")
                    head.hash -> Unit
                    else -> fail(entryPlace, "is not the one that $place holds")
                }
            }
        }

        /** Checks a seal that was kept elsewhere against the log. [name]: how failures refer to it. */
        private fun checkKeptSeal(name: String, jws: String) {
            val seal = try {
                Seals.read(jws)
            } catch (e: MalformedAuditLineException) {
                fail(name, "can't be read: ${e.message}")
                return
            }
            val storedJws = auditLog.seals[seal.number]
            when {
                !Seals.isSigned(jws, keyOf) -> fail(name, "is not signed by ${seal.by}")
                storedJws == null -> fail("seal ${seal.number}", "missing, though it is the kept $name")
                storedJws != jws -> fail("seal ${seal.number}", "is not the kept $name")
            }
            checkHeads("the kept $name", seal.heads)
        }
    }
}
