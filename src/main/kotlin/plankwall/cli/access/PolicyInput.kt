package plankwall.cli.access

import plankwall.authorization.InvalidPolicyException
import plankwall.authorization.Policy
import plankwall.authorization.PolicyReader
import plankwall.cli.settings.InvalidSettingsException
import plankwall.core.statemachine.Action
import java.io.File
import java.io.IOException

/** Reads the policy in [file]; throws [InvalidSettingsException] if it can't be read or is not valid. */
internal fun readPolicy(file: File): Policy = try {
    PolicyReader.read(file.readText(), 1)
} catch (e: InvalidPolicyException) {
    throw InvalidSettingsException("$file", e.message.orEmpty(), e)
} catch (e: IOException) {
    throw InvalidSettingsException("$file", "can't be read: ${e.message}", e)
}

/** Returns the action that the policy language calls [word]; throws [InvalidSettingsException] if there is none. */
internal fun readAction(word: String): Action = Action.entries.find { it.word == word }
    ?: throw InvalidSettingsException(
        "no action is called '$word'; the actions are ${Action.entries.joinToString(", ") { it.word }}",
    )
