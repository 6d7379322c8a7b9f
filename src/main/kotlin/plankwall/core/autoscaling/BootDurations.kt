package plankwall.core.autoscaling

import org.HdrHistogram.Histogram
import plankwall.model.MachineType

/**
 * How long machines of a type lately took to boot. One that takes clearly longer than nearly all others is no longer
 * counted on as room about to arrive (S3), long before it is given up (UC5). In times when all boot slowly the measure
 * slows with them, and nothing is requested twice.
 */
class BootDurations {
    private class Durations(var recent: Histogram = histogram(), var before: Histogram = histogram())

    private val byType = HashMap<String, Durations>()

    /** Records that a machine of [type] took [tookS] seconds from its request to its registration. */
    fun record(type: MachineType, tookS: Double) {
        val durations = byType.getOrPut(type.name) { Durations() }
        durations.recent.recordValue((tookS * 1000).toLong().coerceIn(1, MAX_MS))
        if (durations.recent.totalCount < WINDOW) return
        durations.before = durations.recent
        durations.recent = histogram()
    }

    /** Seconds since its request after which an arriving machine of [type] is overdue and not counted on. */
    fun overdueAfterS(type: MachineType): Double {
        val nominalS = type.bootS * NOMINAL_MARGIN
        val durations = byType[type.name] ?: return nominalS
        val all = durations.before.copy().also { it.add(durations.recent) }
        if (all.totalCount < MIN_BOOTS) return nominalS
        return maxOf(nominalS, all.getValueAtPercentile(PERCENTILE) / 1000.0 * OBSERVED_MARGIN)
    }

    private companion object {
        /** Boots in a histogram; up to twice as many count. */
        const val WINDOW = 40L
        const val MIN_BOOTS = 10L
        const val MAX_MS = 3_600_000L
        const val PERCENTILE = 90.0
        const val OBSERVED_MARGIN = 1.2
        const val NOMINAL_MARGIN = 1.5

        fun histogram() = Histogram(MAX_MS, 2)
    }
}
