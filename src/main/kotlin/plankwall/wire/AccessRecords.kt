package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser

/**
 * Which version of the rights holds. Every change that somebody was allowed is guarded on this key's stamp, so none is
 * stored by rights that had been replaced when it was applied. [parts]: under how many keys the text lies.
 */
data class RightsHead(val version: Long, val parts: Int, val digest: String, val by: String, val atMs: Long) : Stored

/** A piece of a version's text. Never rewritten, so that a version can be had again. */
data class RightsPart(val text: String) : Stored

/** The version of the rights whose effect on running jobs has been seen to, by whichever leader. */
data class RightsApplied(val version: Long) : Stored

/**
 * Consecutive entries of one node's trail. [lines] are kept as the very bytes that were hashed: a value that the state
 * service wrote anew with other spaces would else read as an edit. [before] is the hash of the entry before the first.
 */
data class AuditSegment(val first: Long, val before: String, val lines: List<String>) : Stored

/** How far every node's trail had come, signed (RFC 7515, compact). Each names the one before it. */
data class AuditSeal(val jws: String) : Stored

object AccessKeys {
    const val HEAD = "access/head"
    const val APPLIED = "access/applied"
    const val TRAIL = "trail/"
    const val SEALS = "seal/"
    private const val PARTS = "access/v/"
    private const val DIGITS = 10

    fun parts(version: Long) = "$PARTS${padded(version)}/"

    fun part(version: Long, n: Int) = "${parts(version)}${n.toString().padStart(3, '0')}"

    fun segment(node: String, number: Long) = "$TRAIL$node/${padded(number)}"

    fun seal(number: Long) = "$SEALS${padded(number)}"

    fun number(key: String): Long? = key.substringAfterLast('/').toLongOrNull()

    /** Zero-padded, so that the store's key order is the order of writing. */
    private fun padded(n: Long) = n.toString().padStart(DIGITS, '0')
}

internal object AccessRecordCodec {
    fun write(g: JsonGenerator, record: Stored) {
        when (record) {
            is RightsHead -> g.obj {
                writeNumberField("version", record.version)
                writeNumberField("parts", record.parts)
                writeStringField("digest", record.digest)
                writeStringField("by", record.by)
                writeNumberField("at", record.atMs)
            }
            is RightsPart -> g.obj { writeStringField("text", record.text) }
            is RightsApplied -> g.obj { writeNumberField("version", record.version) }
            is AuditSegment -> g.obj {
                writeNumberField("f", record.first)
                writeStringField("b", record.before)
                arr("l") { record.lines.forEach { writeString(it) } }
            }
            is AuditSeal -> g.obj { writeStringField("jws", record.jws) }
            else -> error("not a record of rights or trail: ${record.javaClass.simpleName}")
        }
    }

    /** Null for a key of a kind that is not known here; the parser then stands where it stood. */
    fun read(key: String, p: JsonParser): Stored? = when {
        key == AccessKeys.HEAD -> head(p)
        key == AccessKeys.APPLIED -> RightsApplied(
            single(p, "version") { whole(it) } ?: throw MalformedMessageException("rights: no version"),
        )
        key.startsWith(AccessKeys.TRAIL) -> segment(p)
        key.startsWith(AccessKeys.SEALS) -> AuditSeal(
            single(p, "jws") { text(it) } ?: throw MalformedMessageException("seal: no signature"),
        )
        key.startsWith("access/v/") -> RightsPart(single(p, "text") { text(it) }.orEmpty())
        else -> null
    }

    private inline fun <T> single(p: JsonParser, field: String, read: JsonParser.(String) -> T): T? {
        var found: T? = null
        p.fields { name -> if (name == field) found = read(name) }
        return found
    }

    private fun head(p: JsonParser): RightsHead {
        var version = 0L
        var parts = 0
        var digest = ""
        var by = ""
        var at = 0L
        p.fields { name ->
            when (name) {
                "version" -> version = whole(name)
                "parts" -> parts = whole(name).toInt()
                "digest" -> digest = text(name)
                "by" -> by = text(name)
                "at" -> at = whole(name)
            }
        }
        return RightsHead(version, parts, digest, by, at)
    }

    private fun segment(p: JsonParser): AuditSegment {
        var first = 0L
        var before = ""
        val lines = ArrayList<String>()
        p.fields { name ->
            when (name) {
                "f" -> first = whole(name)
                "b" -> before = text(name)
                "l" -> elements { lines.add(text(name)) }
            }
        }
        return AuditSegment(first, before, lines)
    }
}
