package plankwall.cli.settings

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import plankwall.authorization.InvalidPolicyException
import plankwall.authorization.PolicyReader
import plankwall.gateway.GatewaySettings
import java.io.File
import java.io.IOException

/** Reads the YAML that enables identities, policy and audit log. An unknown key is refused. */
object IdentitiesFile {
    private val known = setOf(
        "audience", "rights_file", "node_key_file", "peer_keys_file", "unsigned_peers", "clock_tolerance_ms",
        "max_token_s",
        "reads_only_after_s", "trail_share", "seal_s", "denials_per_s", "denial_burst", "workers_at_listed_address",
    )

    fun read(file: File): GatewaySettings = readSettings(file, YAMLMapper(), "YAML") {
        read(it, file.absoluteFile.parentFile)
    }

    /** Files are named as seen from [folder]. */
    fun read(root: JsonNode?, folder: File): GatewaySettings {
        if (root == null || !root.isObject) throw InvalidSettingsException("must be a map of settings")
        root.fieldNames().forEach {
            if (it !in known) {
                throw InvalidSettingsException("$it", "unknown; known are ${known.joinToString(", ")}")
            }
        }
        val default = GatewaySettings("")
        val peerKeys = file(root, "peer_keys_file", folder)?.let { KeyFiles.peers(it) }.orEmpty()
        return GatewaySettings(
            audience =
            root.get("audience")?.asText()?.takeIf { it.isNotBlank() }
                ?: throw InvalidSettingsException("audience", "missing: the name of this installation"),
            firstRights = file(root, "rights_file", folder)?.let { rights(it) },
            nodeKey = file(root, "node_key_file", folder)?.let { KeyFiles.signing(it) },
            peerKeys = peerKeys,
            allowUnsignedPeers = choice(root, "unsigned_peers", listOf("refuse", "allow")) == "allow",
            clockToleranceMs = number(
                root,
                "clock_tolerance_ms",
                default.clockToleranceMs.toDouble(),
                0.0..60_000.0,
            ).toLong(),
            maxTokenS = number(root, "max_token_s", default.maxTokenS, 1.0..3600.0),
            failClosedS = number(root, "reads_only_after_s", default.failClosedS, 1.0..3600.0),
            trailShare = number(root, "trail_share", default.trailShare, 0.01..0.9),
            sealS = number(root, "seal_s", default.sealS, 1.0..86_400.0),
            denialsPerS = number(root, "denials_per_s", default.denialsPerS, 0.01..10_000.0),
            denialBurst = number(root, "denial_burst", default.denialBurst, 1.0..10_000.0),
            workersAtListedAddress = flag(root, "workers_at_listed_address", default.workersAtListedAddress),
        )
    }

    private fun rights(file: File): String = try {
        file.readText().also { PolicyReader.read(it, 1) }
    } catch (e: InvalidPolicyException) {
        throw InvalidSettingsException("rights_file", "$file: ${e.message}", e)
    } catch (e: IOException) {
        throw InvalidSettingsException("rights_file", "$file: can't be read: ${e.message}", e)
    }

    private fun file(root: JsonNode, key: String, folder: File): File? {
        val node = root.get(key) ?: return null
        if (!node.isTextual || node.textValue().isBlank()) {
            throw InvalidSettingsException("$key", "must be the name of a file")
        }
        return folder.resolve(node.textValue())
    }

    private fun choice(root: JsonNode, key: String, allowed: List<String>): String {
        val value = root.get(key)?.asText() ?: return allowed.first()
        return value.takeIf { it in allowed }
            ?: throw InvalidSettingsException("$key", "'$value' must be ${allowed.joinToString(" or ")}")
    }

    private fun number(root: JsonNode, key: String, default: Double, range: ClosedFloatingPointRange<Double>): Double {
        val node = root.get(key) ?: return default
        if (!node.isNumber || node.asDouble() !in range) {
            throw InvalidSettingsException(
                "$key",
                "${node.asText()} must be a number in ${range.start}..${range.endInclusive}",
            )
        }
        return node.asDouble()
    }

    private fun flag(root: JsonNode, key: String, default: Boolean): Boolean {
        val node = root.get(key) ?: return default
        if (!node.isBoolean) throw InvalidSettingsException("$key", "'${node.asText()}' must be true or false")
        return node.booleanValue()
    }
}
