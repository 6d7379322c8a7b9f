package plankwall.io

import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeout
import plankwall.model.Address

/** What became of a request: it matters greatly whether it can have been executed. */
sealed interface HttpOutcome {
    class Answered(val status: Int, val body: ByteArray) : HttpOutcome

    /** Nothing was sent. */
    data class NotSent(val why: String) : HttpOutcome

    /** Sent, at least in part, and not answered. */
    data class Unanswered(val why: String) : HttpOutcome
}

/** A client of one address with a bounded number of connections and waiters. */
class HttpClient(
    private val selector: SelectorManager,
    private val address: Address,
    maxConnections: Int,
    private val maxWaiting: Int,
    private val keepAlive: Boolean = true,
) {
    private class Connection(val socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel(autoFlush = false)

        fun close() = socket.close()
    }

    private val slots = Semaphore(maxConnections)
    private val idle = ArrayDeque<Connection>()
    private var waiting = 0

    suspend fun call(method: String, path: String, body: ByteArray?, timeoutMs: Long): HttpOutcome {
        if (waiting >= maxWaiting) return HttpOutcome.NotSent("too many requests wait")
        waiting++
        var sent = false
        var connection: Connection? = null
        var holding = false
        try {
            return withTimeout(timeoutMs) {
                slots.acquire()
                holding = true
                val c = reuse() ?: connect()
                connection = c
                sent = true
                c.output.writeFully(message(method, path, body))
                c.output.flush()
                val response = parseResponse(c.input) ?: throw MalformedHttpException("closed before the answer")
                val answer = try {
                    val bytes =
                        readBody(response.headers, c.input, MAX_ANSWER)
                            ?: throw MalformedHttpException("answer too long")
                    if (keepAlive && !closes(response.headers) && idle.size < MAX_IDLE) {
                        idle.addLast(c)
                        connection = null
                    }
                    HttpOutcome.Answered(response.status, bytes)
                } finally {
                    response.release()
                }
                answer
            }
        } catch (e: Exception) {
            // A time-out of this call is an outcome; a cancellation from outside is not.
            if (e is CancellationException && e !is kotlinx.coroutines.TimeoutCancellationException) throw e
            return if (sent) HttpOutcome.Unanswered(e.toString()) else HttpOutcome.NotSent(e.toString())
        } finally {
            waiting--
            connection?.close()
            if (holding) slots.release()
        }
    }

    /** Closes the connections that no call uses. */
    fun closeIdle() {
        idle.forEach { it.close() }
        idle.clear()
    }

    private fun reuse(): Connection? {
        while (idle.isNotEmpty()) {
            val c = idle.removeLast()
            if (!c.input.isClosedForRead && !c.output.isClosedForWrite && !c.socket.isClosed) return c
            c.close()
        }
        return null
    }

    private suspend fun connect(): Connection = withTimeout(CONNECT_MS) {
        Connection(aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true })
    }

    private fun message(method: String, path: String, body: ByteArray?): ByteArray {
        val head = buildString {
            append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(address).append("\r\n")
            if (body !=
                null
            ) {
                append("Content-Type: application/json\r\nContent-Length: ").append(body.size).append("\r\n")
            }
            if (!keepAlive) append("Connection: close\r\n")
            append("\r\n")
        }.encodeToByteArray()
        return if (body == null) head else head + body
    }

    private companion object {
        const val MAX_IDLE = 16
        const val MAX_ANSWER = 4 shl 20
        const val CONNECT_MS = 1_000L
    }
}

private val Socket.isClosed: Boolean get() = socketContext.isCompleted
