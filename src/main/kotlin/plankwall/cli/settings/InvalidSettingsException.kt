package plankwall.cli.settings

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import java.io.File
import java.io.IOException

/**
 * A setting, or another input of a command, can't be used. The message, which joins [setting] and [problem], is shown
 * to the user.
 *
 * @property setting the file, key or option that is wrong; null if the message does not begin with one
 * @property problem what is wrong with it and, where possible, what would be valid
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
 * Parses [file] with [mapper] and passes the result to [read]. Throws [InvalidSettingsException], which names the file,
 * if it can't be read, is not in [language], or [read] finds it invalid.
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
