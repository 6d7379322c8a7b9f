package plankwall.cli.settings

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import java.io.File
import java.io.IOException

/**
 * Settings, or another input of a command, that can't be used. [setting]: the file, key or option that is wrong; null
 * if the message names none at its start. [problem]: what is wrong with it, and what would do. The message, which
 * joins both, is shown to the user.
 */
class InvalidSettingsException private constructor(
    val setting: String?,
    val problem: String,
    message: String,
    cause: Throwable?,
) : Exception(message, cause) {
    constructor(problem: String, cause: Throwable? = null) : this(null, problem, problem, cause)

    constructor(setting: String, problem: String, cause: Throwable? = null) :
        this(setting, problem, "$setting: $problem", cause)
}

/**
 * Reads [file], which is in [language]; throws [InvalidSettingsException], which names the file, for whatever is wrong
 * with it.
 */
internal fun <T> readSettings(file: File, mapper: ObjectMapper, language: String, read: (JsonNode) -> T): T = try {
    read(mapper.readTree(file))
} catch (e: JacksonException) {
    throw InvalidSettingsException("$file", "not $language: ${e.originalMessage}", e)
} catch (e: IOException) {
    throw InvalidSettingsException("$file", "can't be read: ${e.message}", e)
} catch (e: InvalidSettingsException) {
    throw InvalidSettingsException("$file", e.message.orEmpty(), e)
}
