package plankwall.audit

import plankwall.core.statemachine.Context
import plankwall.wire.AccessKeys
import plankwall.wire.AuditSegment

/** Finds the end of the audit chain of [node] in the store. */
class AuditChainTail(ctx: Context, private val node: String) {
    private val segments = LastRecordSearch({ AccessKeys.segment(node, it) }, ctx)

    /**
     * The end of a chain: its last segment, with the number [segment] and the stamp [version]. If [version] is 0, the
     * chain is empty, and [segment] is the number of its first segment.
     */
    class End(val segment: Long, val version: Long, content: AuditSegment?) {
        /** The number of the segment's first entry. */
        val first: Long = content?.first ?: 0L

        /** The hash of the entry before the segment's first entry. */
        val before: String = content?.before ?: AuditLines.START

        /** The lines of the segment's entries, byte for byte as they were hashed. */
        val lines: List<String> = content?.lines.orEmpty()

        /** The number of the next entry. */
        val next: Long = first + lines.size

        /** The hash of the last entry. */
        val hash: String = lines.lastOrNull()?.let { AuditLines.hash(it) } ?: before

        /** The number of bytes that the segment takes as a stored value. */
        val size: Int = EMPTY_BYTES + lines.sumOf { sizeOf(it) }

        /** Returns the ids of this segment's entries behind [known]; all, if [known] is null or in another segment. */
        fun idsSince(known: End?): Set<String> {
            val isSameSegment = known != null && known.segment == segment
            val skipped = if (isSameSegment) (known.next - first).toInt().coerceIn(0, lines.size) else 0
            return lines.drop(skipped).mapNotNullTo(HashSet(), ::idOf)
        }

        /** The id of the entry in [line]; null if the line was tampered with, which the verifier reports. */
        private fun idOf(line: String): String? = try {
            AuditLines.read(line).entry.id
        } catch (_: MalformedAuditLineException) {
            null
        }
    }

    /** Finds the end of the chain, from an earlier end [known] on. [onResult] gets null if the store can't be read. */
    fun find(known: End?, onResult: (End?) -> Unit) = segments.find(known?.segment ?: 0) { found ->
        onResult(found?.let { End(it.number, it.item?.version ?: 0, it.item?.value as? AuditSegment) })
    }

    companion object {
        /** The bytes that a segment takes as a stored value without its lines. */
        private const val EMPTY_BYTES = 90
        private const val QUOTES_AND_COMMA_BYTES = 3

        /** Returns the bytes that [line] takes in a stored segment, with JSON escapes, two quotes and a comma. */
        fun sizeOf(line: String): Int =
            line.encodeToByteArray().size + line.count { it == '"' || it == '\\' } + QUOTES_AND_COMMA_BYTES
    }
}
