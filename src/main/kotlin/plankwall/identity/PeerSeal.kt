package plankwall.identity

import com.google.common.hash.Hashing
import okio.Buffer
import java.io.EOFException
import java.security.MessageDigest

/** A key that all controllers share. The first of several signs; frames signed with any of them are accepted. */
class PeerKey(val id: String, val secret: ByteArray) {
    override fun toString(): String = "peer key $id"
}

/**
 * Signs frames between controllers and verifies them: a keyed hash over the sender, its incarnation, the frame's number
 * and the time. A forged status could make a leader yield, or make it conclude that no older one answers workers any
 * more; a captured one could do so later. Frames of an earlier incarnation, out of order or too old are dropped like
 * forged ones. [allowUnsigned]: accepts frames without a signature, while keys are introduced.
 */
class PeerSeal(
    private val node: String,
    private val incarnation: Long,
    private val keys: List<PeerKey>,
    private val allowUnsigned: Boolean,
    private val toleranceMs: Long,
) {
    /** Which frame of its sender a frame is, and when it was sent. */
    private class FrameHead(val incarnation: Long, val number: Long, val atMs: Long)

    /** The newest frame of each sender. */
    private val lastFrames = HashMap<String, FrameHead>()
    private var sent = 0L

    /** How many frames were dropped. */
    var dropped = 0L
        private set

    /** [frame] with its signature; as it is where there is no key. [wallMs]: the time of day. */
    fun seal(frame: ByteArray, wallMs: Long): ByteArray {
        val key = keys.firstOrNull() ?: return frame
        val head = Buffer().writeByte(SEALED).name(key.id).name(node)
            .writeLong(incarnation).writeLong(++sent).writeLong(wallMs)
        val signed = head.write(frame).readByteArray()
        return signed + mac(key, signed)
    }

    /**
     * Verifies [sealed]; null if it is to be dropped. [wallMs]: the time of day.
     */
    fun open(sealed: ByteArray, wallMs: Long): Opened? {
        val isSealed = sealed.isNotEmpty() && sealed[0].toInt() == SEALED
        val opened = if (isSealed) openSealed(sealed, wallMs) else openUnsigned(sealed)
        if (opened == null) dropped++
        return opened
    }

    /** A verified frame. [sender]: null for one without a signature. */
    class Opened(val sender: String?, val frame: ByteArray)

    private fun openUnsigned(frame: ByteArray): Opened? =
        if (allowUnsigned || keys.isEmpty()) Opened(null, frame) else null

    private fun openSealed(sealed: ByteArray, wallMs: Long): Opened? = try {
        if (sealed.size <= MAC_BYTES) null else verify(sealed, wallMs)
    } catch (_: EOFException) {
        // Shorter than it claims to be.
        null
    }

    private fun verify(sealed: ByteArray, wallMs: Long): Opened? {
        val signed = sealed.copyOf(sealed.size - MAC_BYTES)
        val buffer = Buffer().write(signed)
        buffer.readByte()
        val keyId = buffer.readName() ?: return null
        val sender = buffer.readName() ?: return null
        val frame = FrameHead(buffer.readLong(), buffer.readLong(), buffer.readLong())
        val isSigned = isSigned(keyId, signed, sealed.copyOfRange(signed.size, sealed.size))
        if (!isSigned || sender == node || !isInTime(frame, wallMs) || !isNewer(lastFrames[sender], frame)) return null
        lastFrames[sender] = frame
        return Opened(sender, buffer.readByteArray())
    }

    private fun isSigned(keyId: String, signed: ByteArray, mac: ByteArray): Boolean =
        keys.find { it.id == keyId }?.let { MessageDigest.isEqual(mac(it, signed), mac) } ?: false

    private fun isInTime(frame: FrameHead, wallMs: Long): Boolean =
        frame.atMs in (wallMs - MAX_AGE_MS - toleranceMs)..(wallMs + toleranceMs)

    /**
     * Incarnations are distinguished by their number and ordered by time: a clock that was set back must not exclude a
     * node for good.
     */
    private fun isNewer(last: FrameHead?, frame: FrameHead): Boolean = when {
        last == null -> true
        frame.incarnation == last.incarnation -> frame.number > last.number
        else -> frame.atMs > last.atMs
    }

    private fun mac(key: PeerKey, signed: ByteArray): ByteArray =
        Hashing.hmacSha256(key.secret).hashBytes(signed).asBytes()

    private fun Buffer.name(name: String): Buffer {
        val bytes = name.encodeToByteArray()
        return writeInt(bytes.size).write(bytes)
    }

    private fun Buffer.readName(): String? {
        val size = readInt()
        return if (size in 1..MAX_NAME) readUtf8(size.toLong()) else null
    }

    companion object {
        /** The most bytes that a signature adds: two names of 200 bytes, four numbers, the keyed hash. */
        const val OVERHEAD = 500

        /** Not a kind of frame that an unsigned peer sends. */
        private const val SEALED = 0x53
        private const val MAC_BYTES = 32
        private const val MAX_NAME = 200

        /** A partition may hold frames back for minutes; each is sent anew every second, so old ones are not needed. */
        private const val MAX_AGE_MS = 10_000L
    }
}
