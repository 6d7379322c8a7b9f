package plankwall.loadtest

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import plankwall.model.Address

/**
 * A proxy for the peer connections from one controller to another. It counts the bytes in the meter of the sender, and
 * holds them back while [isCut].
 *
 * @param receiver the address at which the receiving controller listens for its peers
 */
class PeerProxy(
    private val cluster: LoadTestCluster,
    private val receiver: Address,
    private val senderMeter: NodeMeter,
) {
    /** Whether the proxy holds all bytes back. */
    @Volatile
    var isCut = false

    /** Opens the listener of the proxy and returns its address, to which the sender connects. */
    suspend fun openListener(): Address {
        val listener = aSocket(cluster.selector).tcp().bind(WorkerTransport.LOOPBACK, 0)
        cluster.scope.launch { while (isActive) listener.accept().let { launch { forward(it) } } }
        return WorkerTransport.boundAddress(listener)
    }

    private suspend fun forward(connection: Socket) = try {
        connection.use { source ->
            aSocket(cluster.selector).tcp().connect(receiver.host, receiver.port) {
                noDelay = true
            }.use { copyBytes(source, it) }
        }
    } catch (_: java.io.IOException) {
        // The receiver is down. The sender's connection closes, as if the receiver had refused it.
    }

    private suspend fun copyBytes(source: Socket, target: Socket) = coroutineScope {
        val input = source.openReadChannel()
        val output = target.openWriteChannel(autoFlush = true)
        val buffer = ByteArray(BUFFER_BYTES)
        // Receivers never send anything back, so the first read returns when the receiver closes the connection.
        val endWatcher = launch {
            target.openReadChannel().readAvailable(ByteArray(1))
            source.close()
        }
        while (true) {
            val count = input.readAvailable(buffer)
            if (count < 0) break
            while (isCut) delay(CUT_CHECK_INTERVAL_MS)
            senderMeter.frameBytes += count
            output.writeFully(buffer, 0, count)
        }
        endWatcher.cancel()
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
        const val CUT_CHECK_INTERVAL_MS = 50L
    }
}
