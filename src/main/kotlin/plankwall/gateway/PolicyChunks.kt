package plankwall.gateway

import okio.ByteString.Companion.encodeUtf8
import plankwall.model.StateLimits

/** Splits the text of a policy into chunks, each of which fits into a stored value of the size that [limits] allow. */
internal class PolicyChunks(limits: StateLimits) {
    private val chunkBytes = (limits.valueKb * 1024 * FILL_SHARE).toInt()

    /** The number of chunks that one transaction may store. */
    val perTransaction: Int = minOf(limits.txnOps, maxOf(1, MAX_TRANSACTION_BYTES / chunkBytes)).coerceAtLeast(1)

    /** Splits [text] into chunks that fit into a stored value as JSON. An empty text gives one empty chunk. */
    fun split(text: String): List<String> {
        val chunks = ArrayList<String>()
        var from = 0
        while (from < text.length) {
            var to = from
            var sizeBytes = 0
            while (to < text.length && sizeBytes < chunkBytes) sizeBytes += encodedBytes(text[to++])
            // A surrogate pair must not be split between two chunks.
            if (to < text.length && text[to - 1].isHighSurrogate()) to--
            chunks.add(text.substring(from, to))
            from = to
        }
        return chunks.ifEmpty { listOf("") }
    }

    /** Returns the SHA-256 hash of [text] by which the stored head identifies it. */
    fun digest(text: String): String = text.encodeUtf8().sha256().base64Url()

    /** Returns the maximum number of bytes of [char] in a JSON string, where some characters are escaped. */
    private fun encodedBytes(char: Char): Int = when {
        char == '\n' || char == '"' || char == '\\' || char == '\r' || char == '\t' -> ESCAPED_BYTES
        char < ' ' || char.isSurrogate() -> UNICODE_ESCAPE_BYTES
        char < '\u0080' -> 1
        else -> MAX_UTF8_BYTES
    }

    private companion object {
        /** The share of the largest stored value that a chunk may take. */
        const val FILL_SHARE = 0.8
        const val MAX_TRANSACTION_BYTES = 40_000
        const val ESCAPED_BYTES = 2
        const val UNICODE_ESCAPE_BYTES = 6
        const val MAX_UTF8_BYTES = 3
    }
}
