package plankwall.io

import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.SocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory
import plankwall.model.Address

/**
 * The HTTP server for users and workers: CIO's parser on plain ktor-network sockets. The full server engine is left out
 * because its pipeline and its classes cost start-up time and memory that the target machines do not have.
 */
class HttpServer(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val maxConnections: Int,
    private val onRequest: suspend (HttpRequest) -> HttpReply,
) {
    private val log = LoggerFactory.getLogger("http")
    private var openConnections = 0

    /** Binds [address] and serves it until the scope ends; throws [java.io.IOException] if it can't be bound. */
    suspend fun start(address: Address): ServerSocket {
        val listener = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        scope.launch { acceptAll(listener, { openConnections < maxConnections }, ::serve) }
        return listener
    }

    private suspend fun serve(socket: Socket) {
        openConnections++
        try {
            socket.use { serveRequests(it) }
        } catch (e: TimeoutCancellationException) {
            log.debug("connection ended error={}", e.toString())
        } catch (e: CancellationException) {
            throw e
        } catch (
            // Sockets, channels, the parser and the request handler fail in many ways; each ends this connection only.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            log.debug("connection ended error={}", e.toString())
        } finally {
            openConnections--
        }
    }

    private suspend fun serveRequests(socket: Socket) {
        val from = socket.remoteAddress
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        var keep = true
        while (keep) {
            val request = withTimeout(IDLE_MS) { parseRequest(input) } ?: return
            keep = try {
                val body = withTimeout(BODY_MS) { readBody(request.headers, input, MAX_BODY) }
                respond(request, body, from, output)
            } finally {
                request.release()
            }
        }
    }

    /** Answers one request; whether the connection is kept. [body]: null if it is too long. */
    private suspend fun respond(
        request: Request,
        body: ByteArray?,
        from: SocketAddress,
        output: ByteWriteChannel,
    ): Boolean {
        // The rest of a body that is too long has not been read: the connection can't be kept.
        val reply = when (body) {
            null -> HttpReply(HttpStatus.BAD_REQUEST, TOO_LONG)
            else -> onRequest(HttpRequest(request, body, from))
        }
        val keep = body != null && !reply.close && !closes(request.headers)
        val message = head(reply, keep).encodeToByteArray() + reply.body
        withTimeout(BODY_MS) {
            output.writeFully(message)
            output.flush()
        }
        return keep
    }

    private fun head(reply: HttpReply, keep: Boolean): String = buildString {
        append("HTTP/1.1 ").append(reply.status).append(' ').append(HttpStatus.reason(reply.status)).append("\r\n")
        append("Content-Type: application/json\r\nContent-Length: ").append(reply.body.size).append("\r\n")
        if (reply.retryAfterS != null) append("Retry-After: ").append(reply.retryAfterS).append("\r\n")
        if (reply.allow != null) append("Allow: ").append(reply.allow).append("\r\n")
        if (!keep) append("Connection: close\r\n")
        append("\r\n")
    }

    private companion object {
        const val MAX_BODY = 64 * 1024
        const val IDLE_MS = 90_000L
        const val BODY_MS = 10_000L
        val TOO_LONG = """{"error":"a body may have at most 64 KiB"}""".encodeToByteArray()
    }
}
