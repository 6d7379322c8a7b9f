package plankwall.audit

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import okio.ByteString.Companion.encodeUtf8

/**
 * One decision. [id]: unique for ever, by which one that was sent twice is known. [request]: the caller's own id of
 * what he asked, from his token. [network]: where it came from, which proves nothing. [status]: what the caller is
 * told; 0: nobody was asked.
 */
data class AuditEntry(
    val id: String,
    val atMs: Long,
    val epoch: Long,
    val who: String,
    val key: String,
    val network: String,
    val action: String,
    val subject: String,
    val allowed: Boolean,
    val rule: String,
    val version: Long,
    val status: Int,
    val request: String = "",
    val note: String = "",
)

/** An entry as it stands in a chain: [number] counts from 0 on [node], [before] is the hash of the line before it. */
class AuditLine(val number: Long, val before: String, val node: String, val entry: AuditEntry)

/** An entry that is no entry, or not of this kind. */
class MalformedAuditLineException(reason: String) : Exception(reason, null, false, false)

/** Lines of the trail: JSON, hashed as they are written. */
object AuditLines {
    /** What the first entry of every chain names. */
    val START: String = "".encodeUtf8().sha256().base64Url().trimEnd('=')

    private val json = ObjectMapper()

    fun hash(line: String): String = line.encodeUtf8().sha256().base64Url().trimEnd('=')

    fun write(number: Long, before: String, node: String, e: AuditEntry): String = json.createObjectNode().apply {
        put("n", number)
        put("b", before)
        put("d", node)
        put("i", e.id)
        put("t", e.atMs)
        put("e", e.epoch)
        put("w", e.who)
        put("k", e.key)
        put("f", e.network)
        put("a", e.action)
        put("s", e.subject)
        put("ok", if (e.allowed) 1 else 0)
        put("r", e.rule)
        put("v", e.version)
        put("o", e.status)
        if (e.request.isNotEmpty()) put("q", e.request)
        if (e.note.isNotEmpty()) put("x", e.note)
    }.toString()

    /** Throws [MalformedAuditLineException]. Unknown fields are left aside: a later version may write more. */
    fun read(line: String): AuditLine {
        val o = try {
            json.readTree(line) as? ObjectNode ?: throw MalformedAuditLineException("not a JSON object")
        } catch (_: JsonProcessingException) {
            throw MalformedAuditLineException("not JSON")
        }
        return AuditLine(
            o.whole("n"),
            o.text("b"),
            o.text("d"),
            AuditEntry(
                o.text(
                    "i",
                ),
                o.whole("t"), o.whole("e"), o.text("w"), o.text("k"), o.text("f"), o.text("a"), o.text("s"),
                o.whole("ok") == 1L, o.text("r"), o.whole("v"), o.whole("o").toInt(),
                o.get("q")?.asText().orEmpty(), o.get("x")?.asText().orEmpty(),
            ),
        )
    }

    private fun ObjectNode.text(name: String): String =
        get(name)?.takeIf { it.isTextual }?.textValue() ?: throw MalformedAuditLineException("$name: no text")

    private fun ObjectNode.whole(name: String): Long =
        get(name)?.takeIf { it.isIntegralNumber && it.canConvertToLong() }?.longValue()
            ?: throw MalformedAuditLineException("$name: no whole number")

    /** A line as one that people and programs read: with names in full. */
    fun export(l: AuditLine): String = json.createObjectNode().apply {
        val e = l.entry
        put("node", l.node)
        put("number", l.number)
        put("time", java.time.Instant.ofEpochMilli(e.atMs).toString())
        put("who", e.who)
        put("key", e.key)
        put("network", e.network)
        put("action", e.action)
        put("subject", e.subject)
        put("allowed", e.allowed)
        put("rule", e.rule)
        put("rights_version", e.version)
        put("status", e.status)
        put("epoch", e.epoch)
        put("decision", e.id)
        put("request", e.request)
        if (e.note.isNotEmpty()) put("note", e.note)
        put("before", l.before)
    }.toString()
}
