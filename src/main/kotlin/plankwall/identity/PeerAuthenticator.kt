package plankwall.identity

import plankwall.wire.FrameSigner
import plankwall.wire.PeerCodec
import plankwall.wire.PeerMessage

/**
 * Authenticates frames between controllers. [networks]: returns the networks from which peers may connect at present;
 * null for anywhere.
 */
class PeerAuthenticator(private val signer: PeerFrameSigner, private val networks: () -> Networks?) : FrameSigner {
    override val overhead: Int get() = PeerFrameSigner.OVERHEAD

    override fun sign(frame: ByteArray, wallMs: Long): ByteArray = signer.sign(frame, wallMs)

    override fun verify(received: ByteArray, wallMs: Long): PeerMessage? {
        val verified = signer.verify(received, wallMs) ?: return null
        val message = PeerCodec.read(verified.frame)
        // A controller may send messages in its own name only. At a failover the status that each peer sends of itself
        // counts, and the answer to a relayed heartbeat is passed on to the worker as the leader's answer.
        return message.takeIf { verified.sender == null || it.sender == null || it.sender == verified.sender }
    }

    override fun admits(address: String): Boolean = networks()?.contains(address) ?: true
}
