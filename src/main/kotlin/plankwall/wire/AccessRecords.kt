package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser

/**
 * The policy version in force. The transaction of every authorized change is guarded by the version of this key, so no
 * change is stored if the policy that allowed it has been replaced.
 *
 * @property parts the number of [RightsPart] keys that hold the policy text
 * @property digest the hash of the policy text
 * @property by the principal that published the version
 * @property atMs the wall-clock time of the publication
 */
data class RightsHead(val version: Long, val parts: Int, val digest: String, val by: String, val atMs: Long) : Stored

/** One part of a policy version's text. It is never overwritten, so that old versions can be read and restored. */
data class RightsPart(val text: String) : Stored

/** The newest policy version whose revocations have been applied to running jobs, by this leader or an earlier one. */
data class RightsApplied(val version: Long) : Stored

/**
 * Consecutive entries of one node's audit log.
 *
 * @property first the number of the first entry
 * @property before the hash of the entry that precedes the first one
 * @property lines the entries as the exact text that was hashed. If they were stored as JSON, a state service that
 *   formats values with other white space would make them look modified.
 */
data class AuditSegment(val first: Long, val before: String, val lines: List<String>) : Stored

/**
 * A signed checkpoint of the audit logs of all nodes: a JWS in compact serialization (RFC 7515). Each checkpoint refers
 * to the previous one.
 */
data class AuditSeal(val jws: String) : Stored

/** Keys of the records of access control in the state service. */
object AccessKeys {
    /** The key of the [RightsHead]. */
    const val HEAD = "access/head"

    /** The key of the [RightsApplied]. */
    const val APPLIED = "access/applied"

    /** The prefix of the keys of all [AuditSegment]s. */
    const val TRAIL = "trail/"

    /** The prefix of the keys of all [AuditSeal]s. */
    const val SEALS = "seal/"
    private const val PARTS = "access/v/"
    private const val NUMBER_DIGITS = 10
    private const val PART_DIGITS = 3

    /** Returns the prefix of the keys of all [RightsPart]s of the policy [version]. */
    fun parts(version: Long) = "$PARTS${padded(version)}/"

    /** Returns the key of one [RightsPart] of the policy [version]; [partNumber] counts from 0. */
    fun part(version: Long, partNumber: Int) = "${parts(version)}${partNumber.toString().padStart(PART_DIGITS, '0')}"

    /** Returns the key of the [AuditSegment] with this [number] of [node]. */
    fun segment(node: String, number: Long) = "$TRAIL$node/${padded(number)}"

    /** Returns the key of the [AuditSeal] with this [number]. */
    fun seal(number: Long) = "$SEALS${padded(number)}"

    /** Returns the number at the end of the [key] of a segment or a seal; null if it does not end with one. */
    fun number(key: String): Long? = key.substringAfterLast('/').toLongOrNull()

    /** Whether [key] is the key of a [RightsPart]. */
    internal fun isPart(key: String): Boolean = key.startsWith(PARTS)

    /** Pads [number] with zeros, so that the order of the keys in the state service is the order of the numbers. */
    private fun padded(number: Long) = number.toString().padStart(NUMBER_DIGITS, '0')
}

/** Codec of the stored form of the access control records. */
internal object AccessRecordCodec {
    /** Writes [record], which must be one of the records declared in this file, as one JSON object. */
    fun write(generator: JsonGenerator, record: Stored) {
        when (record) {
            is RightsHead -> generator.writeJsonObject {
                writeNumberField("version", record.version)
                writeNumberField("parts", record.parts)
                writeStringField("digest", record.digest)
                writeStringField("by", record.by)
                writeNumberField("at", record.atMs)
            }
            is RightsPart -> generator.writeJsonObject { writeStringField("text", record.text) }
            is RightsApplied -> generator.writeJsonObject { writeNumberField("version", record.version) }
            is AuditSegment -> generator.writeJsonObject {
                writeNumberField("f", record.first)
                writeStringField("b", record.before)
                writeJsonArray("l") { record.lines.forEach { writeString(it) } }
            }
            is AuditSeal -> generator.writeJsonObject { writeStringField("jws", record.jws) }
            else -> error("not a record of access control: ${record.javaClass.simpleName}")
        }
    }

    /**
     * Reads the value of [key]. Returns null, and does not move the parser, if no record declared here has such a key.
     */
    fun read(key: String, parser: JsonParser): Stored? = when {
        key == AccessKeys.HEAD -> readHead(parser)
        key == AccessKeys.APPLIED -> RightsApplied(
            readSingleField(parser, "version") { readWholeNumber(it) }
                ?: throw MalformedMessageException("rights", "no version"),
        )
        key.startsWith(AccessKeys.TRAIL) -> readSegment(parser)
        key.startsWith(AccessKeys.SEALS) -> AuditSeal(
            readSingleField(parser, "jws") { readString(it) }
                ?: throw MalformedMessageException("seal", "no signature"),
        )
        AccessKeys.isPart(key) -> RightsPart(readSingleField(parser, "text") { readString(it) }.orEmpty())
        else -> null
    }

    /** Returns the value of [field] read with [read], or null if the object has no such field. */
    private inline fun <T> readSingleField(parser: JsonParser, field: String, read: JsonParser.(String) -> T): T? {
        var found: T? = null
        parser.forEachField { name -> if (name == field) found = read(name) }
        return found
    }

    private fun readHead(parser: JsonParser): RightsHead {
        var version = 0L
        var parts = 0
        var digest = ""
        var by = ""
        var atMs = 0L
        parser.forEachField { name ->
            when (name) {
                "version" -> version = readWholeNumber(name)
                "parts" -> parts = readWholeNumber(name).toInt()
                "digest" -> digest = readString(name)
                "by" -> by = readString(name)
                "at" -> atMs = readWholeNumber(name)
            }
        }
        return RightsHead(version, parts, digest, by, atMs)
    }

    private fun readSegment(parser: JsonParser): AuditSegment {
        var first = 0L
        var before = ""
        val lines = ArrayList<String>()
        parser.forEachField { name ->
            when (name) {
                "f" -> first = readWholeNumber(name)
                "b" -> before = readString(name)
                "l" -> forEachElement { lines.add(readString(name)) }
            }
        }
        return AuditSegment(first, before, lines)
    }
}
