package plankwall.audit

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import okio.ByteString.Companion.encodeUtf8
import java.time.Instant

/** Reads and writes the lines of the audit log: JSON objects with short names, hashed as they are written. */
object AuditLines {
    /** The hash that the first entry of each chain, and the first seal, name as that of their predecessor. */
    val START: String = "".encodeUtf8().sha256().base64Url().trimEnd('=')

    private val json = ObjectMapper()

    /** Returns the hash of [line], by which the next entry refers to it. */
    fun hash(line: String): String = line.encodeUtf8().sha256().base64Url().trimEnd('=')

    /** Writes [entry] as line [number] of the chain of [node]. [before]: the hash of the line before it. */
    fun write(number: Long, before: String, node: String, entry: AuditEntry): String = json.createObjectNode().apply {
        put("n", number)
        put("b", before)
        put("d", node)
        put("i", entry.id)
        put("t", entry.atMs)
        put("e", entry.epoch)
        put("w", entry.principal)
        put("k", entry.key)
        put("f", entry.network)
        put("a", entry.action)
        put("s", entry.subject)
        put("ok", if (entry.allowed) 1 else 0)
        put("r", entry.rule)
        put("v", entry.version)
        put("o", entry.status)
        if (entry.request.isNotEmpty()) put("q", entry.request)
        if (entry.note.isNotEmpty()) put("x", entry.note)
    }.toString()

    /**
     * Parses a stored line. Unknown fields are ignored, since a later version may write more. Throws
     * [MalformedAuditLineException].
     */
    fun read(line: String): AuditLine {
        val fields = try {
            json.readTree(line) as? ObjectNode ?: throw MalformedAuditLineException("not a JSON object")
        } catch (e: JsonProcessingException) {
            throw MalformedAuditLineException("not JSON", e)
        }
        return AuditLine(fields.wholeNumber("n"), fields.text("b"), fields.text("d"), readEntry(fields))
    }

    private fun readEntry(fields: ObjectNode) = AuditEntry(
        id = fields.text("i"),
        atMs = fields.wholeNumber("t"),
        epoch = fields.wholeNumber("e"),
        principal = fields.text("w"),
        key = fields.text("k"),
        network = fields.text("f"),
        action = fields.text("a"),
        subject = fields.text("s"),
        allowed = fields.wholeNumber("ok") == 1L,
        rule = fields.text("r"),
        version = fields.wholeNumber("v"),
        status = fields.wholeNumber("o").toInt(),
        request = fields.get("q")?.asText().orEmpty(),
        note = fields.get("x")?.asText().orEmpty(),
    )

    private fun ObjectNode.text(name: String): String =
        get(name)?.takeIf { it.isTextual }?.textValue() ?: throw MalformedAuditLineException("$name: no text")

    private fun ObjectNode.wholeNumber(name: String): Long =
        get(name)?.takeIf { it.isIntegralNumber && it.canConvertToLong() }?.longValue()
            ?: throw MalformedAuditLineException("$name: no whole number")

    /** Returns [line] as a JSON object with full field names, for people and other programs. */
    fun export(line: AuditLine): String = json.createObjectNode().apply {
        val entry = line.entry
        put("node", line.node)
        put("number", line.number)
        put("time", Instant.ofEpochMilli(entry.atMs).toString())
        put("who", entry.principal)
        put("key", entry.key)
        put("network", entry.network)
        put("action", entry.action)
        put("subject", entry.subject)
        put("allowed", entry.allowed)
        put("rule", entry.rule)
        put("rights_version", entry.version)
        put("status", entry.status)
        put("epoch", entry.epoch)
        put("decision", entry.id)
        put("request", entry.request)
        if (entry.note.isNotEmpty()) put("note", entry.note)
        put("before", line.before)
    }.toString()
}
