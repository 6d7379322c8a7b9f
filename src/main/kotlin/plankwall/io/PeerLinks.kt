package plankwall.io

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.discard
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
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
 * One connection to every other controller, carrying length-prefixed frames. The newest frames are queued for sending;
 * older ones beyond the queue's size are dropped. [onMessage] is called for every authentic message from a peer.
 */
class PeerLinks(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    peers: List<Peer>,
    private val seal: FrameSeal? = null,
    private val onMessage: (PeerMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("peers")
    private val maxIncoming = peers.size * 4 + 4
    private var incoming = 0
    private val outgoing = peers.associate { peer ->
        val queue = Channel<ByteArray>(QUEUE_FRAMES, BufferOverflow.DROP_OLDEST)
        scope.launch { keepConnected(peer, queue) }
        peer.node to queue
    }

    /** Queues [message] for the node [to]; null for all. */
    fun send(message: PeerMessage, to: String? = null) {
        val plain = PeerCodec.write(message)
        if (plain.size > PeerCodec.MAX_FRAME) {
            log.info("peer frame too long, not sent bytes={}", plain.size)
            return
        }
        val frame = seal?.seal(plain, System.currentTimeMillis()) ?: plain
        if (to == null) outgoing.values.forEach { it.trySend(frame) } else outgoing[to]?.trySend(frame)
    }

    private suspend fun keepConnected(peer: Peer, queue: Channel<ByteArray>) {
        while (scope.isActive) {
            try {
                connect(peer).use { sendFrames(it, queue) }
                log.debug("peer connection ended, reconnecting peer={}", peer.node)
            } catch (
                // Whatever ends a connection, even a cancellation of its channels alone, a new one is made.
                @Suppress("TooGenericExceptionCaught") e: Exception,
            ) {
                currentCoroutineContext().ensureActive()
                log.debug("peer connection failed, reconnecting peer={} error={}", peer.node, e.toString())
            }
            delay(RETRY_MS)
        }
    }

    private suspend fun connect(peer: Peer): Socket =
        withTimeout(IO_MS) { aSocket(selector).tcp().connect(peer.host, peer.port) { noDelay = true } }

    /**
     * Sends queued frames until the connection fails, is closed or reaches its maximum age. A receiver closes a
     * connection that was silent for a while, as in a network partition; frames written to it afterwards are lost
     * without an error, for as long as both processes live, and every later leader would wait in vain for the status
     * of all its peers. Nothing is ever sent back, so the first thing read is the end; a connection whose end was lost
     * on the way is replaced for its age.
     */
    private suspend fun sendFrames(socket: Socket, queue: Channel<ByteArray>) = coroutineScope {
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
        withTimeoutOrNull(MAX_AGE_MS) { writing.join() }
        writing.cancel()
        reading.cancel()
    }

    /** Accepts peers on [address] until the scope ends; throws [java.io.IOException] if it can't be bound. */
    suspend fun listen(address: Address) {
        val listener = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        scope.launch { acceptAll(listener, { incoming < maxIncoming }, ::receive) }
    }

    private suspend fun receive(socket: Socket) {
        incoming++
        try {
            socket.use { receiveFrames(it) }
        } catch (e: TimeoutCancellationException) {
            log.debug("incoming peer connection ended error={}", e.toString())
        } catch (e: CancellationException) {
            throw e
        } catch (
            // Sockets, channels and the codecs fail in many ways; each ends this connection, and the peer makes
            // another.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            log.debug("incoming peer connection ended error={}", e.toString())
        } finally {
            incoming--
        }
    }

    private suspend fun receiveFrames(socket: Socket) {
        if (seal != null && !seal.admits(socket.remoteAddress.toString().substringAfter('/'))) {
            throw MalformedHttpException("not from a peer's network")
        }
        val input = socket.openReadChannel()
        while (true) {
            val frame = withTimeout(SILENCE_TIMEOUT_MS) { readFrame(input) }
            open(frame)?.let(onMessage)
        }
    }

    private suspend fun readFrame(input: ByteReadChannel): ByteArray {
        val size = input.readInt()
        if (size !in 1..PeerCodec.MAX_FRAME + (seal?.overhead ?: 0)) {
            throw MalformedHttpException("peer frame of $size bytes")
        }
        return input.readByteArray(size)
    }

    /** The message in [frame]; null, and a line in the log, if it is not authentic. */
    private fun open(frame: ByteArray): PeerMessage? {
        if (seal == null) return PeerCodec.read(frame)
        val message = seal.open(frame, System.currentTimeMillis())
        if (message == null) log.debug("peer frame dropped: not signed by a peer")
        return message
    }

    private companion object {
        /** A second's relayed heartbeats of hundreds of workers. Workers repeat those that are dropped beyond it. */
        const val QUEUE_FRAMES = 256
        const val IO_MS = 2_000L
        const val RETRY_MS = 700L
        const val SILENCE_TIMEOUT_MS = 10_000L
        const val MAX_AGE_MS = 30_000L
    }
}
