package plankwall.io

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory
import plankwall.model.Address
import plankwall.model.Peer
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage

/** One connection to every other controller, carrying length-prefixed frames. Only the newest few frames wait to be sent. */
class PeerLinks(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    peers: List<Peer>,
    private val heard: (PeerMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("peers")
    private val maxIncoming = peers.size * 4 + 4
    private var incoming = 0
    private val outgoing = peers.map { peer ->
        val queue = Channel<ByteArray>(QUEUE, BufferOverflow.DROP_OLDEST)
        scope.launch { deliver(peer, queue) }
        queue
    }

    fun send(message: PeerMessage) {
        val frame = PeerCodec.write(message)
        outgoing.forEach { it.trySend(frame) }
    }

    private suspend fun deliver(peer: Peer, queue: Channel<ByteArray>) {
        while (scope.isActive) {
            try {
                val socket = withTimeout(IO_MS) { aSocket(selector).tcp().connect(peer.host, peer.port) { noDelay = true } }
                socket.use {
                    val output = it.openWriteChannel(autoFlush = false)
                    for (frame in queue) withTimeout(IO_MS) {
                        output.writeInt(frame.size)
                        output.writeFully(frame)
                        output.flush()
                    }
                }
            } catch (e: Exception) {
                if (e is CancellationException && !scope.isActive) throw e
                log.debug("link to {}: {}", peer.node, e.toString())
            }
            delay(RETRY_MS)
        }
    }

    suspend fun listen(address: Address) {
        val listener = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        scope.launch { acceptAll(listener, { incoming < maxIncoming }, ::receive) }
    }

    private suspend fun receive(socket: Socket) {
        incoming++
        try {
            val input = socket.openReadChannel()
            while (true) {
                val frame = withTimeout(SILENT_MS) {
                    val size = input.readInt()
                    if (size !in 1..PeerCodec.MAX_FRAME) throw HttpBroken("peer frame of $size bytes")
                    input.readByteArray(size)
                }
                heard(PeerCodec.read(frame))
            }
        } catch (e: Exception) {
            log.debug("incoming link ended: {}", e.toString())
        } finally {
            incoming--
            socket.close()
        }
    }

    private companion object {
        const val QUEUE = 8
        const val IO_MS = 2_000L
        const val RETRY_MS = 700L
        const val SILENT_MS = 10_000L
    }
}
