package plankwall.cli.settings

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import plankwall.model.Tuning
import java.io.File

/**
 * Reads the operators' own settings (YAML). An unknown key is refused: a misspelt one would silently change nothing.
 */
object TuningFile {
    private class Key(val range: ClosedFloatingPointRange<Double>, val set: (Tuning, Double) -> Tuning)

    private val keys = mapOf(
        "halt_unready_share" to Key(0.01..1.0) { t, v -> t.copy(haltUnreadyShare = v) },
        "halt_retry_s" to Key(1.0..600.0) { t, v -> t.copy(haltRetryS = v) },
        "short_group_s" to Key(10.0..3600.0) { t, v -> t.copy(shortGroupS = v) },
        "unregistered_s" to Key(10.0..3600.0) { t, v -> t.copy(unregisteredS = v) },
        "unready_s" to Key(10.0..7200.0) { t, v -> t.copy(unreadyS = v) },
        "unneeded_s" to Key(0.0..7200.0) { t, v -> t.copy(unneededS = v) },
        "after_rental_s" to Key(0.0..3600.0) { t, v -> t.copy(afterRentalS = v) },
        "leader_lease_s" to Key(1.0..60.0) { t, v -> t.copy(leaderLeaseS = v) },
        "spread_sessions_at" to Key(0.0..1.0) { t, v -> t.copy(spreadSessionsAt = v) },
        "outage_grace_leases" to Key(0.5..20.0) { t, v -> t.copy(outageGraceLeases = v) },
    )

    fun read(file: File): Tuning = readSettings(file, YAMLMapper(), "YAML") { read(it) }

    fun read(root: JsonNode?): Tuning {
        if (root == null || root.isMissingNode || root.isNull) return Tuning()
        if (!root.isObject) throw InvalidSettingsException("must be a map of settings")
        var tuning = Tuning()
        for ((name, node) in root.fields()) {
            val key =
                keys[name]
                    ?: throw InvalidSettingsException("$name", "unknown; known are ${keys.keys.joinToString(", ")}")
            val allowed = "must be a number in ${key.range.start}..${key.range.endInclusive}"
            if (!node.isNumber || node.asDouble() !in key.range) {
                throw InvalidSettingsException("$name", "${node.asText()} $allowed")
            }
            tuning = key.set(tuning, node.asDouble())
        }
        return tuning
    }
}
