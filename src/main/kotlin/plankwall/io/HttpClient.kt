package plankwall.io

import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeout
import plankwall.model.Address

/** The outcome of a request. Its kind shows whether the server may have executed the request. */
sealed interface HttpOutcome {
    /** The server answered with [status] and [body]. */
    class Answered(val status: Int, val body: ByteArray) : HttpOutcome

    /** Nothing was sent, so the server has not executed the request. */
    data class NotSent(val reason: String) : HttpOutcome

    /** The request was sent at least in part but not answered, so the server may have executed it. */
    data class Unanswered(val reason: String) : HttpOutcome
}

/** Returns one line about [outcome] for the log. */
internal fun describe(outcome: HttpOutcome): String = when (outcome) {
    is HttpOutcome.Answered -> "${outcome.status} ${outcome.body.decodeToString().take(MAX_LOGGED_CHARACTERS)}"
    is HttpOutcome.NotSent -> "not sent: ${outcome.reason}"
    is HttpOutcome.Unanswered -> "unanswered: ${outcome.reason}"
}

private const val MAX_LOGGED_CHARACTERS = 200

/**
 * An HTTP/1.1 client of the server at [address].
 *
 * @param maxConnections the most connections that are open for calls at once
 * @param maxCallsInProgress the most calls in progress at once, whether they wait for a connection or hold one; a call
 * beyond
 *   it is not sent
 * @param keepAlive whether connections are reused
 */
class HttpClient(
    private val selector: SelectorManager,
    private val address: Address,
    maxConnections: Int,
    private val maxCallsInProgress: Int,
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
    private val idleConnections = ArrayDeque<Connection>()

    /** The number of calls in progress, whether they wait for a connection or hold one. */
    private var callsInProgress = 0

    /** Makes one request within [timeoutMs] in all, including the wait for a connection. */
    suspend fun call(method: String, path: String, body: ByteArray?, timeoutMs: Long): HttpOutcome {
        if (callsInProgress >= maxCallsInProgress) return HttpOutcome.NotSent("too many requests in progress")
        callsInProgress++
        val exchange = Exchange()
        return try {
            withTimeout(timeoutMs) { exchange.run(formatRequest(method, path, body)) }
        } catch (e: TimeoutCancellationException) {
            exchange.classifyFailure(e)
        } catch (
            // Sockets, channels and the parser throw many kinds of exceptions; each is an outcome of the request, also
            // the cancellation of a channel. Only the caller's own cancellation is passed on.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            currentCoroutineContext().ensureActive()
            exchange.classifyFailure(e)
        } finally {
            callsInProgress--
            exchange.release()
        }
    }

    /** Closes the connections that no call uses at present. */
    fun closeIdle() {
        idleConnections.forEach { it.close() }
        idleConnections.clear()
    }

    /** One request and the resources that it holds: a slot, and a connection until that is idle again. */
    private inner class Exchange {
        private var sendingStarted = false
        private var holdsSlot = false
        private var connection: Connection? = null

        /** Sends [message] and reads the answer. */
        suspend fun run(message: ByteArray): HttpOutcome {
            slots.acquire()
            holdsSlot = true
            val current = takeIdle() ?: connect()
            connection = current
            sendingStarted = true
            current.output.writeFully(message)
            current.output.flush()
            return readAnswer(current)
        }

        private suspend fun readAnswer(current: Connection): HttpOutcome {
            val response =
                parseResponse(current.input) ?: throw MalformedHttpException("connection closed before the answer")
            return try {
                val body = readBody(response.headers, current.input, MAX_ANSWER_BYTES)
                    ?: throw MalformedHttpException("answer exceeds the size limit")
                if (keepAlive && !announcesClose(response.headers) && idleConnections.size < MAX_IDLE_CONNECTIONS) {
                    idleConnections.addLast(current)
                    connection = null
                }
                HttpOutcome.Answered(response.status, body)
            } finally {
                response.release()
            }
        }

        /** Returns the outcome of this request after [cause] ended it. */
        fun classifyFailure(cause: Exception): HttpOutcome =
            if (sendingStarted) HttpOutcome.Unanswered(cause.toString()) else HttpOutcome.NotSent(cause.toString())

        /** Gives the slot back and closes the connection unless it has become idle. */
        fun release() {
            connection?.close()
            if (holdsSlot) slots.release()
        }
    }

    /** Takes an idle connection that is still open; null if there is none. */
    private fun takeIdle(): Connection? {
        while (idleConnections.isNotEmpty()) {
            val connection = idleConnections.removeLast()
            if (connection.isOpen) return connection
            connection.close()
        }
        return null
    }

    private suspend fun connect(): Connection = withTimeout(CONNECT_TIMEOUT_MS) {
        Connection(aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true })
    }

    private fun formatRequest(method: String, path: String, body: ByteArray?): ByteArray {
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
        const val MAX_IDLE_CONNECTIONS = 16
        const val MAX_ANSWER_BYTES = 4 shl 20
        const val CONNECT_TIMEOUT_MS = 1_000L
    }
}
