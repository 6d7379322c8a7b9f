package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser

/**
 * Which version of the policy is in force. Every change that was authorized is guarded on this key's version, so none
 * is stored under a policy that had been replaced when the change was applied. [parts]: under how many keys the text
 * is stored. [digest]: of the text. [by]: the principal that published it, at wall-clock [atMs].
 */
data class RightsHead(val version: Long, val parts: Int, val digest: String, val by: String, val atMs: Long) : Stored

/** A part of a policy version's text. Never rewritten, so that old versions can be read and restored. */
data class RightsPart(val text: String) : Stored

/** The policy version whose effect on running jobs has been applied, by whichever leader. */
data class RightsApplied(val version: Long) : Stored

/**
 * Consecutive entries of one node's audit log, from number [first] on. [lines] are kept as the very bytes that were
 * hashed: a value that the state service wrote again with other spaces would otherwise look like an edit. [before] is
 * the hash of the entry before the first.
 */
data class AuditSegment(val first: Long, val before: String, val lines: List<String>) : Stored

/** A signed checkpoint of every node's audit log (RFC 7515, compact). Each refers to the one before it. */
data class AuditSeal(val jws: String) : Stored

/** Keys of access control's records in the state service. */
object AccessKeys {
    const val HEAD = "access/head"
    const val APPLIED = "access/applied"
    const val TRAIL = "trail/"
    const val SEALS = "seal/"
    private const val PARTS = "access/v/"
    private const val NUMBER_DIGITS = 10
    private const val PART_DIGITS = 3

    /** The prefix of all [RightsPart]s of a policy version. */
    fun parts(version: Long) = "$PARTS${padded(version)}/"

    fun part(version: Long, n: Int) = "${parts(version)}${n.toString().padStart(PART_DIGITS, '0')}"

    /** The key of one [AuditSegment] of [node]. */
    fun segment(node: String, number: Long) = "$TRAIL$node/${padded(number)}"

    /** The key of one [AuditSeal]. */
    fun seal(number: Long) = "$SEALS${padded(number)}"

    /** The number at the end of [key]; null if there is none. */
    fun number(key: String): Long? = key.substringAfterLast('/').toLongOrNull()

    internal fun isPart(key: String): Boolean = key.startsWith(PARTS)

    /** Zero-padded, so that the store's key order is the order of writing. */
    private fun padded(number: Long) = number.toString().padStart(NUMBER_DIGITS, '0')
}

/** The stored form of access control's records. */
internal object AccessRecordCodec {
    fun write(generator: JsonGenerator, record: Stored) {
        when (record) {
            is RightsHead -> generator.obj {
                writeNumberField("version", record.version)
                writeNumberField("parts", record.parts)
                writeStringField("digest", record.digest)
                writeStringField("by", record.by)
                writeNumberField("at", record.atMs)
            }
            is RightsPart -> generator.obj { writeStringField("text", record.text) }
            is RightsApplied -> generator.obj { writeNumberField("version", record.version) }
            is AuditSegment -> generator.obj {
                writeNumberField("f", record.first)
                writeStringField("b", record.before)
                arr("l") { record.lines.forEach { writeString(it) } }
            }
            is AuditSeal -> generator.obj { writeStringField("jws", record.jws) }
            else -> error("not a record of access control: ${record.javaClass.simpleName}")
        }
    }

    /** Null for a key of a kind that is not known here; the parser is not moved then. */
    fun read(key: String, parser: JsonParser): Stored? = when {
        key == AccessKeys.HEAD -> readHead(parser)
        key == AccessKeys.APPLIED -> RightsApplied(
            readSingle(parser, "version") { whole(it) } ?: throw MalformedMessageException("rights", "no version"),
        )
        key.startsWith(AccessKeys.TRAIL) -> readSegment(parser)
        key.startsWith(AccessKeys.SEALS) -> AuditSeal(
            readSingle(parser, "jws") { text(it) } ?: throw MalformedMessageException("seal", "no signature"),
        )
        AccessKeys.isPart(key) -> RightsPart(readSingle(parser, "text") { text(it) }.orEmpty())
        else -> null
    }

    private inline fun <T> readSingle(parser: JsonParser, field: String, read: JsonParser.(String) -> T): T? {
        var found: T? = null
        parser.fields { name -> if (name == field) found = read(name) }
        return found
    }

    private fun readHead(parser: JsonParser): RightsHead {
        var version = 0L
        var parts = 0
        var digest = ""
        var by = ""
        var atMs = 0L
        parser.fields { name ->
            when (name) {
                "version" -> version = whole(name)
                "parts" -> parts = whole(name).toInt()
                "digest" -> digest = text(name)
                "by" -> by = text(name)
                "at" -> atMs = whole(name)
            }
        }
        return RightsHead(version, parts, digest, by, atMs)
    }

    private fun readSegment(parser: JsonParser): AuditSegment {
        var first = 0L
        var before = ""
        val lines = ArrayList<String>()
        parser.fields { name ->
            when (name) {
                "f" -> first = whole(name)
                "b" -> before = text(name)
                "l" -> elements { lines.add(text(name)) }
            }
        }
        return AuditSegment(first, before, lines)
    }
}
