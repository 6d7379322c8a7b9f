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

/** Serves every connection that is opened while [hasCapacity]; the others are closed at once. */
internal suspend fun acceptAll(listener: ServerSocket, hasCapacity: () -> Boolean, serve: suspend (Socket) -> Unit) =
    coroutineScope {
        while (isActive) {
            val socket = try {
                listener.accept()
            } catch (e: CancellationException) {
                throw e
            } catch (
                // Out of sockets, most likely: trying again without a pause would take the whole processor.
                @Suppress("TooGenericExceptionCaught") e: Exception,
            ) {
                log.debug("accept failed error={}", e.toString())
                delay(ACCEPT_PAUSE_MS)
                continue
            }
            if (hasCapacity()) launch { serve(socket) } else socket.close()
        }
    }

private const val ACCEPT_PAUSE_MS = 20L
