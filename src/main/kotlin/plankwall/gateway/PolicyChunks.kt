package plankwall.gateway

import okio.ByteString.Companion.encodeUtf8
import plankwall.model.StateLimits

/** How the text of a policy is laid out over several stored values of the size that [limits] allow. */
internal class PolicyChunks(limits: StateLimits) {
    private val chunkBytes = (limits.valueKb * 1024 * FILL_SHARE).toInt()

    /** How many chunks one transaction may store. */
    val perTransaction: Int = minOf(limits.txnOps, maxOf(1, MAX_TRANSACTION_BYTES / chunkBytes)).coerceAtLeast(1)

    /** [text] in chunks that each fit a stored value as JSON; at least one. */
    fun split(text: String): List<String> {
        val chunks = ArrayList<String>()
        var from = 0
        while (from < text.length) {
            var to = from
            var size = 0
            while (to < text.length && size < chunkBytes) size += encodedBytes(text[to++])
            if (to < text.length && text[to - 1].isHighSurrogate()) to--
            chunks.add(text.substring(from, to))
            from = to
        }
        return chunks.ifEmpty { listOf("") }
    }

    /** What the stored head names a text by. */
    fun digest(text: String): String = text.encodeUtf8().sha256().base64Url()

    /** The most bytes that [char] takes in JSON, which escapes some characters. */
    private fun encodedBytes(char: Char): Int = when {
        char == '\n' || char == '"' || char == '\\' || char == '\r' || char == '\t' -> ESCAPED_BYTES
        char < ' ' -> UNICODE_ESCAPE_BYTES
        char < '\u0080' -> 1
        else -> MAX_UTF8_BYTES
    }

    private companion object {
        const val FILL_SHARE = 0.8
        const val MAX_TRANSACTION_BYTES = 40_000
        const val ESCAPED_BYTES = 2
        const val UNICODE_ESCAPE_BYTES = 6
        const val MAX_UTF8_BYTES = 3
    }
}
