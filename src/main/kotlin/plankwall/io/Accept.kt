package plankwall.io

import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.isClosed
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("accept")

/**
 * Accepts connections of [listener] until the caller is cancelled. Passes each to [onConnection] in a coroutine of its
 * own, or closes it at once if [hasCapacity] returns false.
 */
internal suspend fun acceptConnections(
    listener: ServerSocket,
    hasCapacity: () -> Boolean,
    onConnection: suspend (Socket) -> Unit,
) = coroutineScope {
    while (isActive) {
        val socket = try {
            listener.accept()
        } catch (
            // The process has probably run out of sockets. Without a pause, this loop would keep a processor fully
            // busy. A cancellation may be that of the listener's channel only.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            ensureActive()
            check(!listener.isClosed) { "listener closed: $e" }
            log.debug("accept failed error={}", e.toString())
            delay(ACCEPT_RETRY_DELAY_MS)
            continue
        }
        if (hasCapacity()) launch { onConnection(socket) } else socket.close()
    }
}

private const val ACCEPT_RETRY_DELAY_MS = 20L
