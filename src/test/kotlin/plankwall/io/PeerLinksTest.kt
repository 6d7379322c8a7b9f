package plankwall.io

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import plankwall.model.Peer
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus
import java.io.DataInputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

/** Tests outgoing connections between controllers over loopback, against a peer that ends them. */
class PeerLinksTest {
    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val selector = SelectorManager(Dispatchers.IO)
    private val peerListener =
        ServerSocket(0, 10, InetAddress.getLoopbackAddress()).apply { soTimeout = READ_TIMEOUT_MS }

    @AfterEach
    fun stop() {
        scope.cancel()
        selector.close()
        peerListener.close()
    }

    /** Reads one frame from [socket], which must be a status; returns the name of its sender. */
    private fun readStatusSender(socket: Socket): String {
        socket.soTimeout = READ_TIMEOUT_MS
        val input = DataInputStream(socket.getInputStream())
        val frame = ByteArray(input.readInt()).also { input.readFully(it) }
        return (PeerCodec.read(frame) as PeerStatus).node
    }

    /**
     * The peer closes only its sending direction. Writes still succeed although nobody processes them, so only the end
     * of the incoming stream shows that the connection is lost.
     */
    @Test
    fun `a connection whose peer closed only its sending direction is replaced by a new one`() {
        val links = PeerLinks(scope, selector, listOf(Peer("n1", "z", "127.0.0.1", peerListener.localPort))) {}
        scope.launch {
            while (isActive) {
                links.send(PeerStatus("n0", 1, 7, false, 0, true, 0, PeerCodec.LEVEL))
                delay(50)
            }
        }
        peerListener.accept().use { first ->
            assertEquals("n0", readStatusSender(first))
            first.shutdownOutput()
            peerListener.accept().use { second -> assertEquals("n0", readStatusSender(second)) }
        }
    }

    private companion object {
        const val READ_TIMEOUT_MS = 20_000
    }
}
