package plankwall.wire

import okio.Buffer

private const val MAX_NAME = 200
private const val MAX_TEXT = 1_000

/** A name of 1 to 200 bytes. */
internal fun Buffer.name(name: String): Buffer = text(name)

/** A text that may be empty; null is written like an empty one. */
internal fun Buffer.text(text: String?): Buffer {
    val bytes = text.orEmpty().encodeToByteArray()
    return writeInt(bytes.size).write(bytes)
}

internal fun Buffer.readName(): String {
    val size = readInt()
    if (size !in 1..MAX_NAME) throw MalformedMessageException("peer", "bad name")
    return readUtf8(size.toLong())
}

internal fun Buffer.readText(): String? {
    val size = readInt()
    if (size !in 0..MAX_TEXT) throw MalformedMessageException("peer", "bad text")
    return readUtf8(size.toLong()).ifEmpty { null }
}

internal fun Buffer.flag(value: Boolean): Buffer = writeByte(if (value) 1 else 0)

internal fun Buffer.readFlag(): Boolean = readByte().toInt() == 1

/** A list after its length. The bound keeps a forged length from exhausting the memory. */
internal inline fun <T> Buffer.readList(item: () -> T): List<T> {
    val count = readInt()
    if (count !in 0..PeerCodec.MAX_FRAME) throw MalformedMessageException("peer", "$count entries")
    return List(count) { item() }
}

/** The ordinal; -1 for null. */
internal fun <E : Enum<E>> E?.code(): Int = this?.ordinal ?: -1

/** The constant with the ordinal [code]; null for -1. */
internal fun <E : Enum<E>> List<E>.ofCode(code: Int): E? =
    if (code == -1) null else getOrNull(code) ?: throw MalformedMessageException("peer", "unknown word $code")
