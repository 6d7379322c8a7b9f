package plankwall.core.autoscaling

import org.HdrHistogram.Histogram
import plankwall.model.MachineType

/**
 * Measures how long machines of each type recently took to boot. A machine that takes clearly longer than nearly all
 * others no longer counts as capacity about to arrive (S3), long before it is given up (UC5). When all machines boot
 * slowly the limit rises with their times, so nothing is requested twice.
 */
class BootDurations {
    /** Boot times in milliseconds: [recent] is the histogram being filled, [previous] the full one before it. */
    private class Durations(var recent: Histogram = histogram(), var previous: Histogram = histogram())

    private val durationsByType = HashMap<String, Durations>()

    /** Records that a machine of [type] took [tookS] seconds from its request to its registration. */
    fun record(type: MachineType, tookS: Double) {
        val durations = durationsByType.getOrPut(type.name) { Durations() }
        durations.recent.recordValue((tookS * 1000).toLong().coerceIn(1, MAX_MS))
        if (durations.recent.totalCount < BOOTS_PER_HISTOGRAM) return
        durations.previous = durations.recent
        durations.recent = histogram()
    }

    /** Returns the seconds after its request when a booting machine of [type] is overdue and no longer counted on. */
    fun overdueAfterS(type: MachineType): Double {
        val nominalS = type.bootS * NOMINAL_MARGIN
        val durations = durationsByType[type.name] ?: return nominalS
        val observed = durations.previous.copy().also { it.add(durations.recent) }
        if (observed.totalCount < MIN_BOOTS) return nominalS
        return maxOf(nominalS, observed.getValueAtPercentile(PERCENTILE) / 1000.0 * OBSERVED_MARGIN)
    }

    private companion object {
        /** The number of boots in a full histogram. Up to twice as many count. */
        const val BOOTS_PER_HISTOGRAM = 40L

        /** The minimum number of observed boots for an estimate from them. */
        const val MIN_BOOTS = 10L

        /** The longest boot time that a histogram can hold; longer ones are recorded as this long. */
        const val MAX_MS = 3_600_000L
        const val PERCENTILE = 90.0

        /** A boot is overdue after this multiple of the observed percentile. */
        const val OBSERVED_MARGIN = 1.2

        /** A boot is not overdue before this multiple of the type's nominal boot time. */
        const val NOMINAL_MARGIN = 1.5

        fun histogram() = Histogram(MAX_MS, 2)
    }
}
