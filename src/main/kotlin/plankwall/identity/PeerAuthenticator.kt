package plankwall.identity

import plankwall.wire.FrameSeal
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage

/** Authenticates frames between controllers. [networks]: from where peers may connect; null: from anywhere. */
class PeerAuthenticator(private val seal: PeerSeal, private val networks: () -> Networks?) : FrameSeal {
    override val overhead: Int get() = PeerSeal.OVERHEAD

    override fun seal(frame: ByteArray, wallMs: Long): ByteArray = seal.seal(frame, wallMs)

    override fun open(sealed: ByteArray, wallMs: Long): PeerMessage? {
        val opened = seal.open(sealed, wallMs) ?: return null
        val message = PeerCodec.read(opened.frame)
        // A controller must not send frames in another's name: each peer's own status counts at a failover, and an
        // answer to a relayed heartbeat goes to the worker as the leader's.
        return message.takeIf { opened.sender == null || it.sender == null || it.sender == opened.sender }
    }

    override fun admits(address: String): Boolean = networks()?.contains(address) ?: true
}
