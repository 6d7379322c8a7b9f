package plankwall.identity

import plankwall.wire.FrameSeal
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage

/** The door for links between controllers. [networks]: from where they may come, null for anywhere. */
class PeerAuthenticator(private val seal: PeerSeal, private val networks: () -> Networks?) : FrameSeal {
    override val overhead: Int get() = PeerSeal.OVERHEAD

    override fun seal(frame: ByteArray, wallMs: Long): ByteArray = seal.seal(frame, wallMs)

    override fun open(sealed: ByteArray, wallMs: Long): PeerMessage? {
        val opened = seal.open(sealed, wallMs) ?: return null
        val message = PeerCodec.read(opened.frame)
        // One controller must not speak in another's name: each peer's own word counts when a leader takes over, and an
        // answer to a relayed report goes to the worker as the leader's.
        return message.takeIf { opened.sender == null || it.sender == null || it.sender == opened.sender }
    }

    override fun admits(address: String): Boolean = networks()?.contains(address) ?: true
}
