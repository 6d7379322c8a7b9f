package plankwall.cli.settings

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import plankwall.model.Tuning
import java.io.File

/**
 * Reads the operators' tuning settings (YAML). An unknown key is rejected because a misspelt one would silently have no
 * effect.
 */
object TuningFile {
    /** A setting with the values that it allows. [set] returns a copy of the tuning with the new value. */
    private class TuningKey(val range: ClosedFloatingPointRange<Double>, val set: (Tuning, Double) -> Tuning)

    private val keys = mapOf(
        "halt_unready_share" to TuningKey(0.01..1.0) { tuning, value -> tuning.copy(haltUnreadyShare = value) },
        "halt_retry_s" to TuningKey(1.0..600.0) { tuning, value -> tuning.copy(haltRetryS = value) },
        "short_group_s" to TuningKey(10.0..3600.0) { tuning, value -> tuning.copy(shortGroupS = value) },
        "unregistered_s" to TuningKey(10.0..3600.0) { tuning, value -> tuning.copy(unregisteredS = value) },
        "unready_s" to TuningKey(10.0..7200.0) { tuning, value -> tuning.copy(unreadyS = value) },
        "unneeded_s" to TuningKey(0.0..7200.0) { tuning, value -> tuning.copy(unneededS = value) },
        "after_rental_s" to TuningKey(0.0..3600.0) { tuning, value -> tuning.copy(afterRentalS = value) },
        "leader_lease_s" to TuningKey(1.0..60.0) { tuning, value -> tuning.copy(leaderLeaseS = value) },
        "spread_sessions_at" to TuningKey(0.0..1.0) { tuning, value -> tuning.copy(spreadSessionsAt = value) },
        "outage_grace_leases" to TuningKey(0.5..20.0) { tuning, value -> tuning.copy(outageGraceLeases = value) },
    )

    /** Reads [file]; throws [InvalidSettingsException] if it can't be read or is not valid. */
    fun read(file: File): Tuning = readSettings(file, YAMLMapper(), "YAML") { read(it) }

    /**
     * Reads tuning settings from [root]; returns the defaults if it is empty. Throws [InvalidSettingsException] for an
     * unknown key or a value that is not allowed.
     */
    fun read(root: JsonNode?): Tuning {
        if (root == null || root.isMissingNode || root.isNull) return Tuning()
        if (!root.isObject) throw InvalidSettingsException("must be a map of settings")
        var tuning = Tuning()
        for ((name, node) in root.fields()) {
            val key =
                keys[name]
                    ?: throw InvalidSettingsException(
                        "$name",
                        "unknown; the known keys are ${keys.keys.joinToString(", ")}",
                    )
            val requirement = "must be a number in ${key.range.start}..${key.range.endInclusive}"
            if (!node.isNumber || node.asDouble() !in key.range) {
                throw InvalidSettingsException("$name", "${node.asText()} $requirement")
            }
            tuning = key.set(tuning, node.asDouble())
        }
        return tuning
    }
}
