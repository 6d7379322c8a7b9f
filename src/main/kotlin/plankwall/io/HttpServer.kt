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
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory
import plankwall.model.Address
import plankwall.wire.HeartbeatSize

/**
 * An HTTP/1.1 server for users and workers: the parser of Ktor's CIO engine on plain ktor-network sockets. Ktor's full
 * server engine is not used because its pipeline and its classes cost start-up time and memory that the target machines
 * do not have.
 *
 * @param maxConnections connections beyond this number are closed at once
 * @param onRequest called for each request; returns the reply to send
 */
class HttpServer(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val maxConnections: Int,
    private val onRequest: suspend (HttpRequest) -> HttpReply,
) {
    private val log = LoggerFactory.getLogger("http")
    private var openConnections = 0

    /** Binds [address] and serves it until [scope] ends; throws [java.io.IOException] if it can't be bound. */
    suspend fun start(address: Address): ServerSocket {
        val listener = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        scope.launchPermanentLoop("accept loop of $address") {
            acceptConnections(listener, { openConnections < maxConnections }, ::serve)
        }
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
            // Sockets, channels, the parser and the request handler throw many kinds of exceptions. Each ends this
            // connection only.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            log.debug("connection ended error={}", e.toString())
        } finally {
            openConnections--
        }
    }

    /** Serves the requests of one connection, one after the other, until it is closed or stays idle for too long. */
    private suspend fun serveRequests(socket: Socket) {
        val clientAddress = socket.remoteAddress
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)
        var keepAlive = true
        while (keepAlive) {
            val request = withTimeout(IDLE_TIMEOUT_MS) { parseRequest(input) } ?: return
            keepAlive = try {
                val body =
                    withTimeout(BODY_TIMEOUT_MS) { readBody(request.headers, input, HeartbeatSize.MAX_BODY_BYTES) }
                respond(request, body, clientAddress, output)
            } finally {
                request.release()
            }
        }
    }

    /** Answers one request and returns whether the connection stays open. [body]: null if it is too long. */
    private suspend fun respond(
        request: Request,
        body: ByteArray?,
        clientAddress: SocketAddress,
        output: ByteWriteChannel,
    ): Boolean {
        // The connection can't be reused after a body that is too long, because the remainder was not read.
        val reply = when (body) {
            null -> {
                val length = request.headers["Content-Length"]
                log.info("request body too long path={} bytes={} client={}", request.uri, length, clientAddress)
                HttpReply(HttpStatus.BAD_REQUEST, BODY_TOO_LONG_JSON)
            }
            else -> onRequest(HttpRequest(request, body, clientAddress))
        }
        val keepAlive = body != null && !reply.closeConnection && !announcesClose(request.headers)
        val message = formatHead(reply, keepAlive).encodeToByteArray() + reply.body
        withTimeout(BODY_TIMEOUT_MS) {
            output.writeFully(message)
            output.flush()
        }
        return keepAlive
    }

    /** Returns the status line and the headers of [reply]. */
    private fun formatHead(reply: HttpReply, keepAlive: Boolean): String = buildString {
        append(
            "HTTP/1.1 ",
        ).append(reply.status).append(' ').append(HttpStatus.reasonPhrase(reply.status)).append("\r\n")
        append("Content-Type: application/json\r\nContent-Length: ").append(reply.body.size).append("\r\n")
        if (reply.retryAfterS != null) append("Retry-After: ").append(reply.retryAfterS).append("\r\n")
        if (reply.allowHeader != null) append("Allow: ").append(reply.allowHeader).append("\r\n")
        if (!keepAlive) append("Connection: close\r\n")
        append("\r\n")
    }

    private companion object {
        const val IDLE_TIMEOUT_MS = 90_000L
        const val BODY_TIMEOUT_MS = 10_000L
        val BODY_TOO_LONG_JSON = """{"error":"a body may have at most 64 KiB"}""".encodeToByteArray()
    }
}
