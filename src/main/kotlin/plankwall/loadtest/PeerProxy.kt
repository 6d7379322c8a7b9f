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

/** The link from one controller to another: counts what goes over it, and holds it back while [cut]. */
class PeerProxy(private val cluster: LoadTestCluster, private val to: Address, private val sender: NodeMeter) {
    @Volatile
    var cut = false

    suspend fun open(): Address {
        val listener = aSocket(cluster.selector).tcp().bind(WorkerTransport.LOOPBACK, 0)
        cluster.scope.launch { while (isActive) listener.accept().let { launch { carry(it) } } }
        return WorkerTransport.boundAddress(listener)
    }

    private suspend fun carry(from: Socket) = try {
        from.use { source ->
            aSocket(cluster.selector).tcp().connect(to.host, to.port) { noDelay = true }.use { copy(source, it) }
        }
    } catch (_: java.io.IOException) {
        // The receiver is down: the sender's connection ends, as a refused one would.
    }

    private suspend fun copy(from: Socket, target: Socket) = coroutineScope {
        val input = from.openReadChannel()
        val output = target.openWriteChannel(autoFlush = true)
        val buffer = ByteArray(BUFFER)
        // Nothing is ever sent back: the first thing read is the end.
        val watch = launch {
            target.openReadChannel().readAvailable(ByteArray(1))
            from.close()
        }
        while (true) {
            val n = input.readAvailable(buffer)
            if (n < 0) break
            while (cut) delay(CUT_CHECK_MS)
            sender.frameBytes += n
            output.writeFully(buffer, 0, n)
        }
        watch.cancel()
    }

    private companion object {
        const val BUFFER = 16 * 1024
        const val CUT_CHECK_MS = 50L
    }
}
