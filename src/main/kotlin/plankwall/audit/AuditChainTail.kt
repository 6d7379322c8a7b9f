package plankwall.audit

import plankwall.core.statemachine.Context
import plankwall.wire.AccessKeys
import plankwall.wire.AuditSegment

/** Finds the end of the audit chain of [node] in the store. */
class AuditChainTail(ctx: Context, private val node: String) {
    private val segments = LastRecordSearch({ AccessKeys.segment(node, it) }, ctx)

    /**
     * The last segment of a chain. [segment]: its number. [version]: its stamp; 0: the chain is empty, and [segment] is
     * where it would begin.
     */
    class End(val segment: Long, val version: Long, content: AuditSegment?) {
        /** The number of the segment's first entry. */
        val first: Long = content?.first ?: 0L

        /** The hash of the entry before the segment's first. */
        val before: String = content?.before ?: AuditLines.START

        /** The segment's entries as they were hashed. */
        val lines: List<String> = content?.lines.orEmpty()

        /** The number of the next entry. */
        val next: Long = first + lines.size

        /** The hash of the last entry. */
        val hash: String = lines.lastOrNull()?.let { AuditLines.hash(it) } ?: before

        /** The bytes that the segment takes as a stored value. */
        val size: Int = EMPTY_BYTES + lines.sumOf { sizeOf(it) }

        /** The ids of entries behind [known]; all of this segment's if that is null or lies in an earlier one. */
        fun idsSince(known: End?): Set<String> {
            val isSameSegment = known != null && known.segment == segment
            val skipped = if (isSameSegment) (known.next - first).toInt().coerceIn(0, lines.size) else 0
            return lines.drop(skipped).mapNotNullTo(HashSet(), ::idOf)
        }

        /** Null for a line that somebody wrote over: it holds no entry of ours, and the verifier reports it. */
        private fun idOf(line: String): String? = try {
            AuditLines.read(line).entry.id
        } catch (_: MalformedAuditLineException) {
            null
        }
    }

    /** [then] gets null if the store can't be read. [known]: an end found earlier, from which to go on. */
    fun find(known: End?, then: (End?) -> Unit) = segments.find(known?.segment ?: 0) { found ->
        then(found?.let { End(it.number, it.item?.version ?: 0, it.item?.value as? AuditSegment) })
    }

    companion object {
        private const val EMPTY_BYTES = 90
        private const val QUOTES_AND_COMMA_BYTES = 3

        /** The bytes that [line] takes inside a segment: its own, those that JSON escapes, quotes and a comma. */
        fun sizeOf(line: String): Int =
            line.encodeToByteArray().size + line.count { it == '"' || it == '\\' } + QUOTES_AND_COMMA_BYTES
    }
}
