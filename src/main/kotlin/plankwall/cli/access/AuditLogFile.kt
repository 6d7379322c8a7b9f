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

/**
 * Reads and writes copies of the audit log as JSON lines. Each line holds one segment or one signed checkpoint as it is
 * stored.
 */
internal object AuditLogFile {
    private val json = ObjectMapper()

    /** Returns the line for [segment], which has the [number] in the log of [node]. */
    fun formatSegment(node: String, number: Long, segment: AuditSegment): String {
        val nodeJson = json.writeValueAsString(node)
        return """{"node":$nodeJson,"segment":$number,"value":${AdminCodec.writeSegment(segment).decodeToString()}}"""
    }

    /** Returns the line for the checkpoint [number], signed as [jws]. */
    fun formatCheckpoint(number: Long, jws: String): String = """{"seal":$number,"jws":"$jws"}"""

    /** Reads a copy from [file]; throws [InvalidSettingsException] if it is not one. */
    fun read(file: File): AuditLogCopy {
        val chains = LinkedHashMap<String, LinkedHashMap<Long, AuditSegment>>()
        val checkpoints = LinkedHashMap<Long, String>()
        try {
            file.forEachLine { line ->
                val row: JsonNode = json.readTree(line)
                if (row.has("seal")) {
                    checkpoints[row.get("seal").asLong()] = row.path("jws").asText()
                } else {
                    val chain = chains.getOrPut(row.path("node").asText()) { LinkedHashMap() }
                    chain[row.path("segment").asLong()] =
                        AdminCodec.readSegment(row.path("value").toString().encodeToByteArray())
                }
            }
        } catch (e: IOException) {
            throw InvalidSettingsException("$file", "can't be read: ${e.javaClass.simpleName}", e)
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException("$file", "not a copy of an audit log: ${e.message}", e)
        }
        return AuditLogCopy(chains, checkpoints)
    }
}
