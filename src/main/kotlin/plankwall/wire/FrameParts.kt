package plankwall.wire

import com.google.common.base.Utf8
import okio.Buffer

private const val MAX_NAME_BYTES = 200
private const val MAX_TEXT_BYTES = 1_000

/**
 * Returns [name], the value of [field], if frames can carry it as a name: [writeName] and [readName] then give an equal
 * one. Throws [MalformedMessageException] otherwise. What is received of names that frames carry on is checked by this;
 * a peer that can't read a frame drops all of it.
 */
internal fun requireFrameName(field: String, name: String): String {
    if (name.isEmpty()) throw MalformedMessageException(field, "missing")
    return requireFrameText(field, name, MAX_NAME_BYTES)
}

/** Returns [text] like [requireFrameName], if frames can carry it as a text, which may be empty. */
internal fun requireFrameText(field: String, text: String, maxBytes: Int = MAX_TEXT_BYTES): String {
    val bytes = try {
        Utf8.encodedLength(text)
    } catch (exception: IllegalArgumentException) {
        throw MalformedMessageException(field, "not well-formed Unicode", exception)
    }
    if (bytes > maxBytes) throw MalformedMessageException(field, "longer than $maxBytes bytes")
    return text
}

/** Writes a name, which must have 1 to [MAX_NAME_BYTES] bytes for [readName] to accept it. */
internal fun Buffer.writeName(name: String): Buffer = writeText(name)

/** Writes the length of [text] in bytes, then the text in UTF-8. Null is written as an empty text. */
internal fun Buffer.writeText(text: String?): Buffer {
    val bytes = text.orEmpty().encodeToByteArray()
    return writeInt(bytes.size).write(bytes)
}

/** Reads what [writeName] writes; throws [MalformedMessageException] for a name that is empty or too long. */
internal fun Buffer.readName(): String {
    val size = readInt()
    if (size !in 1..MAX_NAME_BYTES) throw MalformedMessageException("peer", "name is empty or too long")
    return readUtf8(size.toLong())
}

/** Reads what [writeText] writes; null for an empty text. */
internal fun Buffer.readText(): String? {
    val size = readInt()
    if (size !in 0..MAX_TEXT_BYTES) throw MalformedMessageException("peer", "text is too long")
    return readUtf8(size.toLong()).ifEmpty { null }
}

/** Writes [value] as one byte, 1 or 0. */
internal fun Buffer.writeFlag(value: Boolean): Buffer = writeByte(if (value) 1 else 0)

/** Reads what [writeFlag] writes. */
internal fun Buffer.readFlag(): Boolean = readByte().toInt() == 1

/**
 * Reads a list that is preceded by its length. The length is bounded, so that a forged one can't exhaust the memory.
 */
internal inline fun <T> Buffer.readList(readItem: () -> T): List<T> {
    val count = readInt()
    if (count !in 0..PeerCodec.MAX_FRAME) throw MalformedMessageException("peer", "list of $count entries")
    return List(count) { readItem() }
}

/** Returns the number that stands for this constant in a frame: its ordinal, or -1 for null. */
internal fun <E : Enum<E>> E?.toFrameCode(): Int = this?.ordinal ?: -1

/** Returns the constant that [code] stands for, as written by [toFrameCode]; null for -1. */
internal fun <E : Enum<E>> List<E>.fromFrameCode(code: Int): E? =
    if (code == -1) null else getOrNull(code) ?: throw MalformedMessageException("peer", "unknown enum code $code")
