package plankwall.cli.settings

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import java.io.File
import java.io.IOException

/** A settings file that can't be used; the message says which file, which key and what would do. */
class InvalidSettingsException(message: String) : Exception(message)

/** Reads [file], which is in [language]; whatever is wrong with it becomes a [InvalidSettingsException] that names it. */
internal fun <T> readSettings(file: File, mapper: ObjectMapper, language: String, read: (JsonNode) -> T): T = try {
    read(mapper.readTree(file))
} catch (e: JacksonException) {
    throw InvalidSettingsException("$file: not $language: ${e.originalMessage}")
} catch (e: IOException) {
    throw InvalidSettingsException("$file: can't be read: ${e.message}")
} catch (e: InvalidSettingsException) {
    throw InvalidSettingsException("$file: ${e.message}")
}
