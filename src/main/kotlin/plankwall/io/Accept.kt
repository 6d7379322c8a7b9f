package plankwall.io

import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
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
        } catch (e: CancellationException) {
            throw e
        } catch (
            // The process has probably run out of sockets. Without a pause, this loop would keep a processor fully
            // busy.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            log.debug("accept failed error={}", e.toString())
            delay(ACCEPT_RETRY_DELAY_MS)
            continue
        }
        if (hasCapacity()) launch { onConnection(socket) } else socket.close()
    }
}

private const val ACCEPT_RETRY_DELAY_MS = 20L
