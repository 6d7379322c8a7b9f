package plankwall.wire

/** Authenticates the frames between controllers, if the operators have configured peer keys. */
interface FrameSigner {
    /** The maximum number of bytes that [sign] adds to a frame. */
    val overhead: Int

    /** Returns [frame] with a signature and its time, the wall-clock time [wallMs]. */
    fun sign(frame: ByteArray, wallMs: Long): ByteArray

    /**
     * Verifies [received], a frame that arrived at wall-clock time [wallMs], and returns its message; null if it is not
     * authentic. Throws [MalformedMessageException] for an authentic frame that can't be read.
     */
    fun verify(received: ByteArray, wallMs: Long): PeerMessage?

    /** Whether a connection from the remote address [address] is accepted. */
    fun admits(address: String): Boolean
}
