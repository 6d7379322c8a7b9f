package plankwall.wire

/** Authenticates frames between controllers, where the operators configured keys. */
interface FrameSeal {
    /** The most bytes that a seal adds to a frame. */
    val overhead: Int

    /** Signs [frame] at wall-clock [wallMs]. */
    fun seal(frame: ByteArray, wallMs: Long): ByteArray

    /**
     * The message in [sealed]; null if it is not authentic. Throws [MalformedMessageException] for an authentic frame
     * that can't be read.
     */
    fun open(sealed: ByteArray, wallMs: Long): PeerMessage?

    /** Whether [address] may open a connection at all. */
    fun admits(address: String): Boolean
}
