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

/** The answer to an HTTP request. [close]: whether the connection is closed after it. */
class HttpReply(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val allow: String? = null,
    val close: Boolean = false,
)

/** One request. What only authentication needs is read when it is asked for. */
class HttpRequest(private val head: Request, val body: ByteArray, private val socketAddress: SocketAddress) {
    val method: String = head.method.value

    /** Without the query. */
    val path: String
    val query: String

    init {
        val uri = head.uri.toString()
        path = uri.substringBefore('?')
        query = uri.substringAfter('?', "")
    }

    /** The path with the query, if there is one. */
    val target: String get() = if (query.isEmpty()) path else "$path?$query"

    /** The header of that name. */
    val authorization: String? get() = head.headers["Authorization"]?.toString()

    /** The caller's address without a port; empty if it has none. */
    val from: String
        get() = (socketAddress.toJavaAddress() as? InetSocketAddress)?.address?.hostAddress.orEmpty()
}

/** A message that can't be read to its end, for [problem]; the connection can't be used any more. */
class MalformedHttpException(val problem: String) : Exception(problem, null, false, false)

internal val NO_BODY = ByteArray(0)

/** Whether the sender of [headers] closes the connection after the message. */
internal fun closes(headers: HttpHeadersMap): Boolean =
    headers["Connection"]?.toString().equals("close", ignoreCase = true)

/** Reads a body of at most [limit] bytes; null if it is longer. */
internal suspend fun readBody(headers: HttpHeadersMap, input: ByteReadChannel, limit: Int): ByteArray? {
    if (headers["Transfer-Encoding"] != null) return readCoded(headers, input, limit)
    val length = headers["Content-Length"]?.toString()?.trim() ?: return NO_BODY
    val size = length.toLongOrNull()?.takeIf { it >= 0 } ?: throw MalformedHttpException("bad Content-Length")
    if (size > limit) return null
    val body = ByteArray(size.toInt())
    if (body.isNotEmpty()) input.readFully(body)
    return body
}

private suspend fun readCoded(headers: HttpHeadersMap, input: ByteReadChannel, limit: Int): ByteArray? =
    coroutineScope {
        val plain = ByteChannel()
        val decoder = launch {
            try {
                parseHttpBody(headers, input, plain)
                plain.flushAndClose()
            } catch (
                // Whatever ends the decoding, a cancellation included, has to end the read below too.
                @Suppress("TooGenericExceptionCaught") e: Exception,
            ) {
                plain.cancel(e)
            }
        }
        val body = plain.readRemaining(limit + 1L).readByteArray()
        decoder.cancel()
        if (body.size > limit) null else body
    }
