package plankwall.cli.access

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import plankwall.audit.AuditLogCopy
import plankwall.cli.settings.InvalidSettingsException
import plankwall.wire.AdminCodec
import plankwall.wire.AuditSegment
import plankwall.wire.MalformedMessageException
import java.io.File
import java.io.IOException

/** A copy of the audit log as JSON lines: one segment or checkpoint each, as it is stored. */
internal object AuditLogFile {
    private val json = ObjectMapper()

    fun segment(node: String, number: Long, segment: AuditSegment): String {
        val name = json.writeValueAsString(node)
        return """{"node":$name,"segment":$number,"value":${AdminCodec.segment(segment).decodeToString()}}"""
    }

    fun seal(number: Long, jws: String): String = """{"seal":$number,"jws":"$jws"}"""

    /** Throws [InvalidSettingsException] for a file that is no such copy. */
    fun read(file: File): AuditLogCopy {
        val chains = LinkedHashMap<String, LinkedHashMap<Long, AuditSegment>>()
        val seals = LinkedHashMap<Long, String>()
        try {
            file.forEachLine { line ->
                val row: JsonNode = json.readTree(line)
                if (row.has("seal")) {
                    seals[row.get("seal").asLong()] = row.path("jws").asText()
                } else {
                    val chain = chains.getOrPut(row.path("node").asText()) { LinkedHashMap() }
                    chain[row.path("segment").asLong()] =
                        AdminCodec.readSegment(row.path("value").toString().encodeToByteArray())
                }
            }
        } catch (e: IOException) {
            throw InvalidSettingsException("$file", "can't be read: ${e.javaClass.simpleName}", e)
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException("$file", "not a copy of a trail: ${e.message}", e)
        }
        return AuditLogCopy(chains, seals)
    }
}
