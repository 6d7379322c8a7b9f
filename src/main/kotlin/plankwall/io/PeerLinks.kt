package plankwall.io

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.discard
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import plankwall.model.Address
import plankwall.model.Peer
import plankwall.wire.FrameSeal
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage

/**
 * One connection to every other controller, carrying length-prefixed frames. Only the newest frames wait to be sent.
 */
class PeerLinks(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    peers: List<Peer>,
    private val seal: FrameSeal? = null,
    private val heard: (PeerMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("peers")
    private val maxIncoming = peers.size * 4 + 4
    private var incoming = 0
    private val outgoing = peers.associate { peer ->
        val queue = Channel<ByteArray>(QUEUE, BufferOverflow.DROP_OLDEST)
        scope.launch { deliver(peer, queue) }
        peer.node to queue
    }

    /** [to]: the node that it is for; null for all. */
    fun send(message: PeerMessage, to: String? = null) {
        val plain = PeerCodec.write(message)
        if (plain.size >
            PeerCodec.MAX_FRAME
        ) {
            return log.info("a frame of {} bytes is too long and not sent", plain.size)
        }
        val frame = seal?.seal(plain, System.currentTimeMillis()) ?: plain
        if (to == null) outgoing.values.forEach { it.trySend(frame) } else outgoing[to]?.trySend(frame)
    }

    private suspend fun deliver(peer: Peer, queue: Channel<ByteArray>) {
        while (scope.isActive) {
            try {
                val socket =
                    withTimeout(IO_MS) { aSocket(selector).tcp().connect(peer.host, peer.port) { noDelay = true } }
                socket.use { feed(it, queue) }
                log.debug("link to {}: ended or old, made anew", peer.node)
            } catch (e: Exception) {
                if (e is CancellationException && !scope.isActive) throw e
                log.debug("link to {}: {}", peer.node, e.toString())
            }
            delay(RETRY_MS)
        }
    }

    /**
     * Sends what comes until the link fails, is closed or grows old. A receiver closes a link that was silent for a
     * while, as in a cut; frames written to it afterwards went nowhere and raised no error, for as long as both
     * processes lived, and every later leader waited in vain for the word of all its peers. Nothing is ever sent back,
     * so the first thing read is the end; and a link whose end was lost on the way is given up for its age.
     */
    private suspend fun feed(socket: Socket, queue: Channel<ByteArray>) = coroutineScope {
        val output = socket.openWriteChannel(autoFlush = false)
        val writing = launch {
            for (frame in queue) {
                withTimeout(IO_MS) {
                    output.writeInt(frame.size)
                    output.writeFully(frame)
                    output.flush()
                }
            }
        }
        val reading = launch {
            socket.openReadChannel().discard()
            writing.cancel()
        }
        withTimeoutOrNull(LIFE_MS) { writing.join() }
        writing.cancel()
        reading.cancel()
    }

    suspend fun listen(address: Address) {
        val listener = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        scope.launch { acceptAll(listener, { incoming < maxIncoming }, ::receive) }
    }

    private suspend fun receive(socket: Socket) {
        incoming++
        try {
            if (seal != null &&
                !seal.admits(socket.remoteAddress.toString().substringAfter('/'))
            ) {
                throw MalformedHttpException("not from a peer's network")
            }
            val input = socket.openReadChannel()
            while (true) {
                val frame = withTimeout(SILENT_MS) {
                    val size = input.readInt()
                    if (size !in
                        1..PeerCodec.MAX_FRAME + (seal?.overhead ?: 0)
                    ) {
                        throw MalformedHttpException("peer frame of $size bytes")
                    }
                    input.readByteArray(size)
                }
                open(frame)?.let(heard)
            }
        } catch (e: Exception) {
            log.debug("incoming link ended: {}", e.toString())
        } finally {
            incoming--
            socket.close()
        }
    }

    /** What a frame says, if whoever must have sent it has. */
    private fun open(frame: ByteArray): PeerMessage? {
        if (seal == null) return PeerCodec.read(frame)
        val message = seal.open(frame, System.currentTimeMillis())
        if (message == null) log.debug("a frame that no peer has signed was dropped")
        return message
    }

    private companion object {
        /** A second's relayed reports of hundreds of workers. What is dropped beyond is sent anew by its worker. */
        const val QUEUE = 256
        const val IO_MS = 2_000L
        const val RETRY_MS = 700L
        const val SILENT_MS = 10_000L
        const val LIFE_MS = 30_000L
    }
}
