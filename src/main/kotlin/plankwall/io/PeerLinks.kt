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
import plankwall.wire.FrameSigner
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage

/**
 * Connections between this controller and its peers, carrying length-prefixed frames: one outgoing connection to each
 * peer, and the connections that peers open. Each peer has a bounded queue of frames to send; if it is full, the oldest
 * frame is dropped.
 *
 * @param signer authenticates frames; null if the operators configured no keys for peers
 * @param onMessage called for every message from a peer that is authentic
 */
class PeerLinks(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    peers: List<Peer>,
    private val signer: FrameSigner? = null,
    private val onMessage: (PeerMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("peers")
    private val maxIncomingConnections = peers.size * 4 + 4
    private var incomingConnections = 0

    /** The frames to send, by the name of the peer's node. */
    private val queues = peers.associate { peer ->
        val queue = Channel<ByteArray>(MAX_QUEUED_FRAMES, BufferOverflow.DROP_OLDEST)
        scope.launchPermanentLoop("connection to ${peer.node}") { keepConnected(peer, queue) }
        peer.node to queue
    }

    /** Queues [message] for the node [recipient], or for all peers if that is null. */
    fun send(message: PeerMessage, recipient: String? = null) {
        val encoded = PeerCodec.write(message)
        if (encoded.size > PeerCodec.MAX_FRAME) {
            log.info("peer frame too long, not sent bytes={}", encoded.size)
            return
        }
        val frame = signer?.sign(encoded, System.currentTimeMillis()) ?: encoded
        if (recipient == null) queues.values.forEach { it.trySend(frame) } else queues[recipient]?.trySend(frame)
    }

    /** Sends the frames of [queue] to [peer] and reconnects whenever the connection ends, until [scope] ends. */
    private suspend fun keepConnected(peer: Peer, queue: Channel<ByteArray>) {
        while (scope.isActive) {
            try {
                connect(peer).use { sendFrames(it, queue) }
                log.debug("peer connection ended, reconnecting peer={}", peer.node)
            } catch (
                // A new connection is made whatever ended the last one, even if only its channels were cancelled.
                @Suppress("TooGenericExceptionCaught") e: Exception,
            ) {
                currentCoroutineContext().ensureActive()
                log.debug("peer connection failed, reconnecting peer={} error={}", peer.node, e.toString())
            }
            delay(RECONNECT_DELAY_MS)
        }
    }

    private suspend fun connect(peer: Peer): Socket =
        withTimeout(IO_TIMEOUT_MS) { aSocket(selector).tcp().connect(peer.host, peer.port) { noDelay = true } }

    /**
     * Sends the frames of [queue] until the connection fails, is closed by the peer or reaches [MAX_CONNECTION_AGE_MS].
     * A peer closes a connection that has been silent for a while, as it is during a network partition. Without a
     * reconnect, frames written to a closed connection would be lost without an error for as long as both processes
     * live, and every later leader would wait needlessly for the status of all its peers. A peer never sends anything
     * back here, so reading returns only when the connection is closed. If the network loses that notice, the age limit
     * replaces the connection.
     */
    private suspend fun sendFrames(socket: Socket, queue: Channel<ByteArray>) = coroutineScope {
        val output = socket.openWriteChannel(autoFlush = false)
        val writer = launch {
            for (frame in queue) {
                withTimeout(IO_TIMEOUT_MS) {
                    output.writeInt(frame.size)
                    output.writeFully(frame)
                    output.flush()
                }
            }
        }
        val closeWatcher = launch {
            socket.openReadChannel().discard()
            writer.cancel()
        }
        withTimeoutOrNull(MAX_CONNECTION_AGE_MS) { writer.join() }
        writer.cancel()
        closeWatcher.cancel()
    }

    /** Accepts peers on [address] until [scope] ends; throws [java.io.IOException] if it can't be bound. */
    suspend fun listen(address: Address) {
        val listener = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        scope.launchPermanentLoop("accept loop of $address") {
            acceptConnections(listener, { incomingConnections < maxIncomingConnections }, ::receive)
        }
    }

    private suspend fun receive(socket: Socket) {
        incomingConnections++
        try {
            socket.use { receiveFrames(it) }
        } catch (e: TimeoutCancellationException) {
            log.debug("incoming peer connection ended error={}", e.toString())
        } catch (e: CancellationException) {
            throw e
        } catch (
            // Sockets, channels and the codecs throw many kinds of exceptions. Each ends this connection only; the
            // peer opens another one.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            log.debug("incoming peer connection ended error={}", e.toString())
        } finally {
            incomingConnections--
        }
    }

    /** Passes the messages received from [socket] on until the connection fails or is silent for too long. */
    private suspend fun receiveFrames(socket: Socket) {
        if (signer != null && !signer.admits(socket.remoteAddress.toString().substringAfter('/'))) {
            throw MalformedHttpException("connection does not come from a peer's network")
        }
        val input = socket.openReadChannel()
        while (true) {
            val frame = withTimeout(SILENCE_TIMEOUT_MS) { readFrame(input) }
            decodeFrame(frame)?.let(onMessage)
        }
    }

    private suspend fun readFrame(input: ByteReadChannel): ByteArray {
        val size = input.readInt()
        if (size !in 1..PeerCodec.MAX_FRAME + (signer?.overhead ?: 0)) {
            throw MalformedHttpException("peer frame has an invalid length of $size bytes")
        }
        return input.readByteArray(size)
    }

    /** Returns the message in [frame]; null, with a log line, if it is not authentic. */
    private fun decodeFrame(frame: ByteArray): PeerMessage? {
        if (signer == null) return PeerCodec.read(frame)
        val message = signer.verify(frame, System.currentTimeMillis())
        if (message == null) log.debug("peer frame dropped: not signed by a peer")
        return message
    }

    private companion object {
        /**
         * Holds the heartbeats that hundreds of workers send through another node in one second. A worker repeats a
         * heartbeat that is dropped because the queue is full.
         */
        const val MAX_QUEUED_FRAMES = 256
        const val IO_TIMEOUT_MS = 2_000L
        const val RECONNECT_DELAY_MS = 700L
        const val SILENCE_TIMEOUT_MS = 10_000L
        const val MAX_CONNECTION_AGE_MS = 30_000L
    }
}
