package plankwall.cli.settings

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import plankwall.authorization.InvalidPolicyException
import plankwall.authorization.PolicyReader
import plankwall.gateway.GatewaySettings
import java.io.File
import java.io.IOException

/** Reads the settings (YAML) that enable identities, access policy and audit log. An unknown key is rejected. */
object IdentitiesFile {
    private val knownKeys = setOf(
        "audience", "rights_file", "node_key_file", "peer_keys_file", "unsigned_peers", "clock_tolerance_ms",
        "max_token_s",
        "reads_only_after_s", "trail_share", "seal_s", "denials_per_s", "denial_burst", "workers_at_listed_address",
    )

    /** Reads [file]; throws [InvalidSettingsException] if it or a file that it names can't be read or is not valid. */
    fun read(file: File): GatewaySettings = readSettings(file, YAMLMapper(), "YAML") {
        read(it, file.absoluteFile.parentFile)
    }

    /**
     * Reads settings from [root]. Relative names of files are resolved against [folder]. Throws
     * [InvalidSettingsException] for an unknown key or a value that is not allowed.
     */
    fun read(root: JsonNode?, folder: File): GatewaySettings {
        if (root == null || !root.isObject) throw InvalidSettingsException("must be a map of settings")
        root.fieldNames().forEach {
            if (it !in knownKeys) {
                throw InvalidSettingsException("$it", "unknown; the known keys are ${knownKeys.joinToString(", ")}")
            }
        }
        val defaults = GatewaySettings("")
        val peerKeys = resolveFile(root, "peer_keys_file", folder)?.let { KeyFiles.readPeerKeys(it) }.orEmpty()
        return GatewaySettings(
            audience =
            root.get("audience")?.asText()?.takeIf { it.isNotBlank() }
                ?: throw InvalidSettingsException("audience", "missing: the name of this installation"),
            initialPolicyText = resolveFile(root, "rights_file", folder)?.let { readPolicyText(it) },
            nodeKey = resolveFile(root, "node_key_file", folder)?.let { KeyFiles.readSigningKey(it) },
            peerKeys = peerKeys,
            allowUnsignedPeers = readChoice(root, "unsigned_peers", listOf("refuse", "allow")) == "allow",
            clockToleranceMs = readNumber(
                root,
                "clock_tolerance_ms",
                defaults.clockToleranceMs.toDouble(),
                0.0..60_000.0,
            ).toLong(),
            maxTokenLifetimeS = readNumber(root, "max_token_s", defaults.maxTokenLifetimeS, 1.0..3600.0),
            maxPolicyAgeS = readNumber(root, "reads_only_after_s", defaults.maxPolicyAgeS, 1.0..3600.0),
            auditLogWriteShare = readNumber(root, "trail_share", defaults.auditLogWriteShare, 0.01..0.9),
            checkpointIntervalS = readNumber(root, "seal_s", defaults.checkpointIntervalS, 1.0..86_400.0),
            denialsPerS = readNumber(root, "denials_per_s", defaults.denialsPerS, 0.01..10_000.0),
            denialBurst = readNumber(root, "denial_burst", defaults.denialBurst, 1.0..10_000.0),
            workersAtListedAddress = readBoolean(root, "workers_at_listed_address", defaults.workersAtListedAddress),
        )
    }

    /** Returns the text of the policy in [file]; throws [InvalidSettingsException] if it is not a valid policy. */
    private fun readPolicyText(file: File): String = try {
        file.readText().also { PolicyReader.read(it, 1) }
    } catch (e: InvalidPolicyException) {
        throw InvalidSettingsException("rights_file", "$file: ${e.message}", e)
    } catch (e: IOException) {
        throw InvalidSettingsException("rights_file", "$file: can't be read: ${e.message}", e)
    }

    /** Returns the file that the setting [key] names; null if there is no such setting. */
    private fun resolveFile(root: JsonNode, key: String, folder: File): File? {
        val node = root.get(key) ?: return null
        if (!node.isTextual || node.textValue().isBlank()) {
            throw InvalidSettingsException("$key", "must be the name of a file")
        }
        return folder.resolve(node.textValue())
    }

    /** Returns the value of [key], which must be one of [allowed]; the first of these if there is none. */
    private fun readChoice(root: JsonNode, key: String, allowed: List<String>): String {
        val value = root.get(key)?.asText() ?: return allowed.first()
        return value.takeIf { it in allowed }
            ?: throw InvalidSettingsException("$key", "'$value' must be ${allowed.joinToString(" or ")}")
    }

    private fun readNumber(
        root: JsonNode,
        key: String,
        default: Double,
        range: ClosedFloatingPointRange<Double>,
    ): Double {
        val node = root.get(key) ?: return default
        if (!node.isNumber || node.asDouble() !in range) {
            throw InvalidSettingsException(
                "$key",
                "${node.asText()} must be a number in ${range.start}..${range.endInclusive}",
            )
        }
        return node.asDouble()
    }

    private fun readBoolean(root: JsonNode, key: String, default: Boolean): Boolean {
        val node = root.get(key) ?: return default
        if (!node.isBoolean) throw InvalidSettingsException("$key", "'${node.asText()}' must be true or false")
        return node.booleanValue()
    }
}
