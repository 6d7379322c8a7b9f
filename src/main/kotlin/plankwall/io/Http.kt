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

/** One HTTP answer as bytes on the wire's other side. */
class HttpReply(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val allow: String? = null,
    val close: Boolean = false,
)

/** One request. What only an identity check wants to know is read when it is asked for. */
class HttpRequest(private val head: Request, val body: ByteArray, private val socketAddress: SocketAddress) {
    val method: String = head.method.value

    /** Without the query. */
    val path: String
    val query: String

    init {
        val target = head.uri.toString()
        path = target.substringBefore('?')
        query = target.substringAfter('?', "")
    }

    val target: String get() = if (query.isEmpty()) path else "$path?$query"

    val authorization: String? get() = head.headers["Authorization"]?.toString()

    /** The caller's address without a port; empty if it has none. */
    val from: String
        get() = (socketAddress.toJavaAddress() as? java.net.InetSocketAddress)?.address?.hostAddress.orEmpty()
}

/** A message that can't be read on; the connection is of no more use. */
class MalformedHttpException(reason: String) : Exception(reason, null, false, false)

internal val NO_BODY = ByteArray(0)

internal fun closes(headers: HttpHeadersMap): Boolean =
    headers["Connection"]?.toString().equals("close", ignoreCase = true)

/** Reads a body of at most [limit] bytes; null if it is longer. */
internal suspend fun readBody(headers: HttpHeadersMap, input: ByteReadChannel, limit: Int): ByteArray? {
    val coding = headers["Transfer-Encoding"]
    if (coding != null) return readCoded(headers, input, limit)
    val length = headers["Content-Length"]?.toString()?.trim() ?: return NO_BODY
    val size = length.toLongOrNull() ?: throw MalformedHttpException("bad Content-Length")
    if (size < 0) throw MalformedHttpException("bad Content-Length")
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
            } catch (e: Exception) {
                plain.cancel(e)
            }
        }
        val body = plain.readRemaining(limit + 1L).readByteArray()
        decoder.cancel()
        if (body.size > limit) null else body
    }

internal fun reason(status: Int): String = when (status) {
    200 -> "OK"
    201 -> "Created"
    400 -> "Bad Request"
    401 -> "Unauthorized"
    403 -> "Forbidden"
    404 -> "Not Found"
    405 -> "Method Not Allowed"
    409 -> "Conflict"
    413 -> "Payload Too Large"
    421 -> "Misdirected Request"
    422 -> "Unprocessable Entity"
    429 -> "Too Many Requests"
    503 -> "Service Unavailable"
    else -> "Status"
}
