package plankwall.identity

import com.google.common.hash.Hashing
import okio.Buffer
import java.io.EOFException
import java.security.MessageDigest

/** A secret key that all controllers share. If there are several, the first one signs, and all are accepted. */
class PeerKey(val id: String, val secret: ByteArray) {
    override fun toString(): String = "peer key $id"
}

/**
 * Signs and verifies frames between controllers. The signature is an HMAC over the frame, its sender, the sender's
 * incarnation, the frame's number and the time. Without it, a forged status could make a leader resign, or make it
 * conclude that older leaders no longer answer workers, and a captured status could do so when it is replayed later.
 * Therefore frames of an earlier incarnation, out of order or too old are dropped like forged ones.
 *
 * [node] and [incarnation]: the sender of the frames signed here. [allowUnsigned]: whether frames without a signature
 * are accepted, which is needed while keys are being introduced. [toleranceMs]: the maximum difference between the
 * clocks of two machines.
 */
class PeerFrameSigner(
    private val node: String,
    private val incarnation: Long,
    private val keys: List<PeerKey>,
    private val allowUnsigned: Boolean,
    private val toleranceMs: Long,
) {
    /** The position of a frame among those of its sender, and the wall-clock time [atMs] at which it was sent. */
    private class FrameHead(val incarnation: Long, val number: Long, val atMs: Long)

    /** The head of the newest verified frame of each sender. */
    private val lastFrames = HashMap<String, FrameHead>()

    /** The number of the frame that was signed last. */
    private var lastSentNumber = 0L

    /** The number of received frames that were dropped. */
    var dropped = 0L
        private set

    /** Returns [frame] with its signature, or as it is if there are no keys. [wallMs]: the wall-clock time. */
    fun sign(frame: ByteArray, wallMs: Long): ByteArray {
        val key = keys.firstOrNull() ?: return frame
        val head = Buffer().writeByte(SIGNED_MARKER).writeName(key.id).writeName(node)
            .writeLong(incarnation).writeLong(++lastSentNumber).writeLong(wallMs)
        val signed = head.write(frame).readByteArray()
        return signed + computeMac(key, signed)
    }

    /**
     * Verifies the frame [received]; null if it is to be dropped. [wallMs]: the wall-clock time.
     */
    fun verify(received: ByteArray, wallMs: Long): VerifiedFrame? {
        val hasSignature = received.isNotEmpty() && received[0].toInt() == SIGNED_MARKER
        val verified = if (hasSignature) verifySigned(received, wallMs) else acceptUnsigned(received)
        if (verified == null) dropped++
        return verified
    }

    /** An accepted frame. [sender]: the node that signed it; null for a frame without a signature. */
    class VerifiedFrame(val sender: String?, val frame: ByteArray)

    private fun acceptUnsigned(frame: ByteArray): VerifiedFrame? =
        if (allowUnsigned || keys.isEmpty()) VerifiedFrame(null, frame) else null

    private fun verifySigned(received: ByteArray, wallMs: Long): VerifiedFrame? = try {
        if (received.size <= MAC_BYTES) null else readAndVerify(received, wallMs)
    } catch (_: EOFException) {
        // The frame is shorter than the lengths in it claim.
        null
    }

    private fun readAndVerify(received: ByteArray, wallMs: Long): VerifiedFrame? {
        val signed = received.copyOf(received.size - MAC_BYTES)
        val buffer = Buffer().write(signed)
        buffer.readByte()
        val keyId = buffer.readName() ?: return null
        val sender = buffer.readName() ?: return null
        val head = FrameHead(buffer.readLong(), buffer.readLong(), buffer.readLong())
        val isSigned = hasValidMac(keyId, signed, received.copyOfRange(signed.size, received.size))
        if (!isSigned || sender == node || !isInTime(head, wallMs) || !isNewer(lastFrames[sender], head)) return null
        lastFrames[sender] = head
        return VerifiedFrame(sender, buffer.readByteArray())
    }

    private fun hasValidMac(keyId: String, signed: ByteArray, mac: ByteArray): Boolean =
        keys.find { it.id == keyId }?.let { MessageDigest.isEqual(computeMac(it, signed), mac) } ?: false

    private fun isInTime(head: FrameHead, wallMs: Long): Boolean =
        head.atMs in (wallMs - MAX_AGE_MS - toleranceMs)..(wallMs + toleranceMs)

    /**
     * Whether a frame is newer than the [last] one of its sender. Frames of one incarnation are ordered by their
     * number. Frames of different incarnations are ordered by time and not by the incarnation: a node whose clock was
     * set back must not be excluded permanently.
     */
    private fun isNewer(last: FrameHead?, head: FrameHead): Boolean = when {
        last == null -> true
        head.incarnation == last.incarnation -> head.number > last.number
        else -> head.atMs > last.atMs
    }

    private fun computeMac(key: PeerKey, signed: ByteArray): ByteArray =
        Hashing.hmacSha256(key.secret).hashBytes(signed).asBytes()

    private fun Buffer.writeName(name: String): Buffer {
        val bytes = name.encodeToByteArray()
        return writeInt(bytes.size).write(bytes)
    }

    private fun Buffer.readName(): String? {
        val size = readInt()
        return if (size in 1..MAX_NAME_BYTES) readUtf8(size.toLong()) else null
    }

    companion object {
        /**
         * The maximum number of bytes that [sign] adds to a frame: two names of up to 200 bytes, some numbers and the
         * HMAC.
         */
        const val OVERHEAD = 500

        /** The first byte of a signed frame. Frames without a signature never begin with it. */
        private const val SIGNED_MARKER = 0x53
        private const val MAC_BYTES = 32
        private const val MAX_NAME_BYTES = 200

        /**
         * The age at which frames are dropped. A network partition may delay frames for minutes, but peers send their
         * messages anew every second, so old ones are not needed.
         */
        private const val MAX_AGE_MS = 10_000L
    }
}
