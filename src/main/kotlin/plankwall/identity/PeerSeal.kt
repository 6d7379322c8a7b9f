package plankwall.identity

import com.google.common.hash.Hashing
import okio.Buffer
import java.security.MessageDigest

/** A key that all controllers share, with its name. The first of several signs; all of them are believed. */
class PeerKey(val id: String, val secret: ByteArray) {
    override fun toString(): String = "peer key $id"
}

/**
 * Frames between controllers, each with a keyed hash over who sent it, in which life, as which of its frames and when.
 * A forged status could make a leader yield, or make it believe that no older one answers workers any more; one that
 * was captured could do so later. Frames of an earlier life, in the wrong order or too old are dropped like forged
 * ones.
 */
class PeerSeal(
    private val node: String,
    private val incarnation: Long,
    private val keys: List<PeerKey>,
    private val allowUnsigned: Boolean,
    private val toleranceMs: Long,
) {
    private class Last(val incarnation: Long, val count: Long, val atMs: Long)

    private val heard = HashMap<String, Last>()
    private var sent = 0L

    /** Frames that were dropped, by nobody in particular: anybody can send them. */
    var dropped = 0L
        private set

    fun seal(frame: ByteArray, wallMs: Long): ByteArray {
        val key = keys.firstOrNull() ?: return frame
        val head = Buffer().writeByte(
            SEALED,
        ).name(key.id).name(node).writeLong(incarnation).writeLong(++sent).writeLong(wallMs)
        val signed = head.write(frame).readByteArray()
        return signed + mac(key, signed)
    }

    /**
     * What [sealed] carries and who sent it; null if it is not believed. The sender is null for a frame that names
     * none.
     */
    fun open(sealed: ByteArray, wallMs: Long): Opened? {
        val opened = if (sealed.isNotEmpty() &&
            sealed[0].toInt() == SEALED
        ) {
            openSealed(sealed, wallMs)
        } else {
            unsigned(sealed)
        }
        if (opened == null) dropped++
        return opened
    }

    class Opened(val sender: String?, val frame: ByteArray)

    private fun unsigned(frame: ByteArray): Opened? = if (allowUnsigned || keys.isEmpty()) Opened(null, frame) else null

    private fun openSealed(sealed: ByteArray, wallMs: Long): Opened? = try {
        if (sealed.size <= MAC_BYTES) null else check(sealed, wallMs)
    } catch (_: java.io.EOFException) {
        null
    }

    private fun check(sealed: ByteArray, wallMs: Long): Opened? {
        val signed = sealed.copyOf(sealed.size - MAC_BYTES)
        val b = Buffer().write(signed)
        b.readByte()
        val keyId = b.readName() ?: return null
        val sender = b.readName() ?: return null
        val life = b.readLong()
        val count = b.readLong()
        val at = b.readLong()
        val key = keys.find { it.id == keyId } ?: return null
        if (!MessageDigest.isEqual(mac(key, signed), sealed.copyOfRange(signed.size, sealed.size))) return null
        val last = heard[sender]
        // Lives are told apart by their number and ordered by time: a clock set back must not shut a node out for good.
        val newer = last == null || (if (life == last.incarnation) count > last.count else at > last.atMs)
        if (sender == node || !newer || at < wallMs - MAX_AGE_MS - toleranceMs || at > wallMs + toleranceMs) return null
        heard[sender] = Last(life, count, at)
        return Opened(sender, b.readByteArray())
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
        /** What a seal adds at the most: two names of 200 bytes, four numbers, the keyed hash. */
        const val OVERHEAD = 500

        /** Not a kind of frame that an unsigned peer sends. */
        private const val SEALED = 0x53
        private const val MAC_BYTES = 32
        private const val MAX_NAME = 200

        /** A cut may hold frames back for minutes; each is sent anew every second, so an old one is worth nothing. */
        private const val MAX_AGE_MS = 10_000L
    }
}
