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
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory
import plankwall.model.Address
import java.io.ByteArrayOutputStream

/**
 * The front door: CIO's parser on plain ktor-network sockets. The full server engine is left out because its pipeline
 * and its classes cost start-up time and memory that this machine does not have.
 */
class HttpServer(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val maxConnections: Int,
    private val handle: suspend (HttpRequest) -> HttpReply,
) {
    private val log = LoggerFactory.getLogger("http")
    private var open = 0

    suspend fun start(address: Address): ServerSocket {
        val listener = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        scope.launch { acceptAll(listener, { open < maxConnections }, ::serve) }
        return listener
    }

    private suspend fun serve(socket: Socket) {
        open++
        try {
            val from = socket.remoteAddress
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            while (true) {
                val request = withTimeout(IDLE_MS) { parseRequest(input) } ?: break
                val keep = try {
                    val body = withTimeout(BODY_MS) { readBody(request.headers, input, MAX_BODY) }
                    respond(request, body, from, output)
                } finally {
                    request.release()
                }
                if (!keep) break
            }
        } catch (e: Exception) {
            log.debug("connection ended: {}", e.toString())
        } finally {
            open--
            socket.close()
        }
    }

    private suspend fun respond(
        request: Request,
        body: ByteArray?,
        from: SocketAddress,
        output: ByteWriteChannel,
    ): Boolean {
        // What is left of a body that is too long has not been read: the connection can't be kept.
        val reply = if (body == null) HttpReply(400, TOO_LONG) else handle(HttpRequest(request, body, from))
        val keep = body != null && !reply.close && !closes(request.headers)
        val out = ByteArrayOutputStream(160 + reply.body.size)
        val head = buildString {
            append("HTTP/1.1 ").append(reply.status).append(' ').append(reason(reply.status)).append("\r\n")
            append("Content-Type: application/json\r\nContent-Length: ").append(reply.body.size).append("\r\n")
            if (reply.retryAfterS != null) append("Retry-After: ").append(reply.retryAfterS).append("\r\n")
            if (reply.allow != null) append("Allow: ").append(reply.allow).append("\r\n")
            if (!keep) append("Connection: close\r\n")
            append("\r\n")
        }
        out.write(head.encodeToByteArray())
        out.write(reply.body)
        withTimeout(BODY_MS) {
            output.writeFully(out.toByteArray())
            output.flush()
        }
        return keep
    }

    private companion object {
        const val MAX_BODY = 64 * 1024
        const val IDLE_MS = 90_000L
        const val BODY_MS = 10_000L
        val TOO_LONG = """{"error":"a body may have at most 64 KiB"}""".encodeToByteArray()
    }
}
