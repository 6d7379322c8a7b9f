package plankwall.identity

import plankwall.wire.FrameSeal
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage

/**
 * Authenticates frames between controllers. [networks]: returns the networks from which peers may connect at present;
 * null for anywhere.
 */
class PeerAuthenticator(private val seal: PeerSeal, private val networks: () -> Networks?) : FrameSeal {
    override val overhead: Int get() = PeerSeal.OVERHEAD

    override fun seal(frame: ByteArray, wallMs: Long): ByteArray = seal.seal(frame, wallMs)

    override fun open(sealed: ByteArray, wallMs: Long): PeerMessage? {
        val opened = seal.open(sealed, wallMs) ?: return null
        val message = PeerCodec.read(opened.frame)
        // A controller may send messages in its own name only. At a failover the status that each peer sends of itself
        // counts, and the answer to a relayed heartbeat is passed on to the worker as the leader's answer.
        return message.takeIf { opened.sender == null || it.sender == null || it.sender == opened.sender }
    }

    override fun admits(address: String): Boolean = networks()?.contains(address) ?: true
}
