package plankwall.wire

/** Proves frames between controllers, where the operators gave them keys. */
interface FrameSeal {
    /** Bytes that a seal adds at the most. */
    val overhead: Int

    fun seal(frame: ByteArray, wallMs: Long): ByteArray

    /** What [sealed] says; null if it is not believed. Throws [MalformedMessageException] if it is believed and says nothing known. */
    fun open(sealed: ByteArray, wallMs: Long): PeerMessage?

    /** Whether a link from [address] may be opened at all. */
    fun admits(address: String): Boolean
}
