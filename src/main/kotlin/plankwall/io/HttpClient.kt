package plankwall.io

import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeout
import plankwall.model.Address

/** The outcome of a request; it matters whether the request can have been executed. */
sealed interface HttpOutcome {
    class Answered(val status: Int, val body: ByteArray) : HttpOutcome

    /** Nothing was sent. */
    data class NotSent(val why: String) : HttpOutcome

    /** Sent, at least in part, and not answered. */
    data class Unanswered(val why: String) : HttpOutcome
}

/** One line about [outcome] for the log. */
internal fun describe(outcome: HttpOutcome): String = when (outcome) {
    is HttpOutcome.Answered -> "${outcome.status} ${outcome.body.decodeToString().take(LOGGED_CHARACTERS)}"
    is HttpOutcome.NotSent -> "not sent: ${outcome.why}"
    is HttpOutcome.Unanswered -> "unanswered: ${outcome.why}"
}

private const val LOGGED_CHARACTERS = 200

/** A client of one address with a bounded number of connections and of requests that wait for one. */
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

        val isOpen: Boolean
            get() = !input.isClosedForRead && !output.isClosedForWrite && !socket.socketContext.isCompleted

        fun close() = socket.close()
    }

    private val slots = Semaphore(maxConnections)
    private val idle = ArrayDeque<Connection>()
    private var waiting = 0

    /** One request, which has [timeoutMs] for everything, the wait for a connection included. */
    suspend fun call(method: String, path: String, body: ByteArray?, timeoutMs: Long): HttpOutcome {
        if (waiting >= maxWaiting) return HttpOutcome.NotSent("too many requests wait")
        waiting++
        val exchange = Exchange()
        return try {
            withTimeout(timeoutMs) { exchange.run(message(method, path, body)) }
        } catch (e: TimeoutCancellationException) {
            exchange.failure(e)
        } catch (e: CancellationException) {
            throw e
        } catch (
            // Sockets, channels and the parser fail in many ways, all of which are an outcome of the request.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            exchange.failure(e)
        } finally {
            waiting--
            exchange.release()
        }
    }

    /** Closes the connections that no call uses. */
    fun closeIdle() {
        idle.forEach { it.close() }
        idle.clear()
    }

    /** One request with what it holds: a slot, and a connection until that goes back to the idle ones. */
    private inner class Exchange {
        private var sent = false
        private var holdsSlot = false
        private var connection: Connection? = null

        suspend fun run(message: ByteArray): HttpOutcome {
            slots.acquire()
            holdsSlot = true
            val current = takeIdle() ?: connect()
            connection = current
            sent = true
            current.output.writeFully(message)
            current.output.flush()
            return readAnswer(current)
        }

        private suspend fun readAnswer(current: Connection): HttpOutcome {
            val response = parseResponse(current.input) ?: throw MalformedHttpException("closed before the answer")
            return try {
                val body = readBody(response.headers, current.input, MAX_ANSWER)
                    ?: throw MalformedHttpException("answer too long")
                if (keepAlive && !closes(response.headers) && idle.size < MAX_IDLE) {
                    idle.addLast(current)
                    connection = null
                }
                HttpOutcome.Answered(response.status, body)
            } finally {
                response.release()
            }
        }

        fun failure(cause: Exception): HttpOutcome =
            if (sent) HttpOutcome.Unanswered(cause.toString()) else HttpOutcome.NotSent(cause.toString())

        fun release() {
            connection?.close()
            if (holdsSlot) slots.release()
        }
    }

    private fun takeIdle(): Connection? {
        while (idle.isNotEmpty()) {
            val connection = idle.removeLast()
            if (connection.isOpen) return connection
            connection.close()
        }
        return null
    }

    private suspend fun connect(): Connection = withTimeout(CONNECT_MS) {
        Connection(aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true })
    }

    private fun message(method: String, path: String, body: ByteArray?): ByteArray {
        val head = buildString {
            append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(address).append("\r\n")
            if (body != null) {
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
