package plankwall.audit

import plankwall.core.statemachine.Context
import plankwall.wire.AccessKeys
import plankwall.wire.AuditSegment

/** Finds where a chain ends. */
class AuditChainTail(ctx: Context, private val node: String) {
    private val segments = LastRecordSearch({ AccessKeys.segment(node, it) }, ctx)

    /** [version] 0: the chain is empty, and [segment] is where it would begin. */
    class End(val segment: Long, val version: Long, content: AuditSegment?) {
        val first: Long = content?.first ?: 0L
        val before: String = content?.before ?: AuditLines.START
        val lines: List<String> = content?.lines.orEmpty()
        val next: Long = first + lines.size
        val hash: String = lines.lastOrNull()?.let { AuditLines.hash(it) } ?: before
        val size: Int = OVERHEAD + lines.sumOf { sizeOf(it) }

        /** The ids of entries behind [known]; all of this segment's if that is unknown or lies in an earlier one. */
        fun idsSince(known: End?): Set<String> {
            val skip = if (known != null &&
                known.segment == segment
            ) {
                (known.next - first).toInt().coerceIn(0, lines.size)
            } else {
                0
            }
            return lines.drop(skip).mapNotNullTo(HashSet()) { line ->
                try {
                    AuditLines.read(line).entry.id
                } catch (_: MalformedAuditLineException) {
                    null
                }
            }
        }
    }

    /** [then] gets null if the store can't be read. [known]: an end found earlier, from which to go on. */
    fun find(known: End?, then: (End?) -> Unit) = segments.find(known?.segment ?: 0) { found ->
        then(found?.let { End(it.number, it.item?.version ?: 0, it.item?.value as? AuditSegment) })
    }

    companion object {
        private const val OVERHEAD = 90

        /** What [line] takes inside a segment: its bytes, those that JSON escapes, quotes and a comma. */
        fun sizeOf(line: String): Int = line.encodeToByteArray().size + line.count { it == '"' || it == '\\' } + 3
    }
}
