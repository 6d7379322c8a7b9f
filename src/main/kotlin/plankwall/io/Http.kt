package plankwall.io

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseHttpBody
import io.ktor.network.sockets.SocketAddress
import io.ktor.network.sockets.toJavaAddress
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.io.readByteArray
import java.net.InetSocketAddress

/**
 * The answer to an HTTP request.
 *
 * @property body JSON, or empty
 * @property retryAfterS the value of the header `Retry-After` in seconds; null for no such header
 * @property allowHeader the value of the header `Allow`; null for no such header
 * @property closeConnection whether the connection is closed after the answer
 */
class HttpReply(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val allowHeader: String? = null,
    val closeConnection: Boolean = false,
)

/** An HTTP request that was read completely. Properties that only authentication needs are computed on access. */
class HttpRequest(private val head: Request, val body: ByteArray, private val callerSocketAddress: SocketAddress) {
    val method: String = head.method.value

    /** The path without the query. */
    val path: String

    /** The text after the question mark; empty if there is none. */
    val query: String

    init {
        val uri = head.uri.toString()
        path = uri.substringBefore('?')
        query = uri.substringAfter('?', "")
    }

    /** The path with the query, if there is one. */
    val target: String get() = if (query.isEmpty()) path else "$path?$query"

    /** The value of the header `Authorization`; null if the request has none. */
    val authorization: String? get() = head.headers["Authorization"]?.toString()

    /** The caller's IP address without the port; empty if it is unknown. */
    val clientAddress: String
        get() = (callerSocketAddress.toJavaAddress() as? InetSocketAddress)?.address?.hostAddress.orEmpty()
}

/** A message could not be read to its end; its connection can't be used any more. [problem]: why it can't be read. */
class MalformedHttpException(val problem: String) : Exception(problem, null, false, false)

internal val EMPTY_BODY = ByteArray(0)

/** Whether the sender of [headers] closes the connection after the message. */
internal fun announcesClose(headers: HttpHeadersMap): Boolean =
    headers["Connection"]?.toString().equals("close", ignoreCase = true)

/** Reads the body that [headers] announce; null if it is longer than [maxBytes] bytes. */
internal suspend fun readBody(headers: HttpHeadersMap, input: ByteReadChannel, maxBytes: Int): ByteArray? {
    if (headers["Transfer-Encoding"] != null) return readTransferEncoded(headers, input, maxBytes)
    val length = headers["Content-Length"]?.toString()?.trim() ?: return EMPTY_BODY
    val size = length.toLongOrNull()?.takeIf { it >= 0 } ?: throw MalformedHttpException("bad Content-Length")
    if (size > maxBytes) return null
    val body = ByteArray(size.toInt())
    if (body.isNotEmpty()) input.readFully(body)
    return body
}

/** Reads a body with a transfer encoding, such as chunked; null if it is longer than [maxBytes] bytes. */
private suspend fun readTransferEncoded(headers: HttpHeadersMap, input: ByteReadChannel, maxBytes: Int): ByteArray? =
    coroutineScope {
        val decoded = ByteChannel()
        val decoder = launch {
            try {
                parseHttpBody(headers, input, decoded)
                decoded.flushAndClose()
            } catch (
                // Any failure of the decoding, including a cancellation, must also end the read below.
                @Suppress("TooGenericExceptionCaught") e: Exception,
            ) {
                decoded.cancel(e)
            }
        }
        val body = decoded.readRemaining(maxBytes + 1L).readByteArray()
        decoder.cancel()
        if (body.size > maxBytes) null else body
    }
