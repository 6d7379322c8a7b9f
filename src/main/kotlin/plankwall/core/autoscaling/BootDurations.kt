package plankwall.core.autoscaling

import org.HdrHistogram.Histogram
import plankwall.model.MachineType

/**
 * How long machines of a type lately took to come up. One that takes clearly longer than nearly all others is no longer
 * counted on as room about to arrive (S3), long before it is given up (UC5): of eight machines for a gang one in three
 * times one is a straggler. In times when all boot slowly the measure slows with them, and nothing is rented twice.
 */
class BootDurations {
    private class Seen(var recent: Histogram = histogram(), var before: Histogram = histogram())

    private val seen = HashMap<String, Seen>()

    fun record(type: MachineType, tookS: Double) {
        val s = seen.getOrPut(type.name) { Seen() }
        s.recent.recordValue((tookS * 1000).toLong().coerceIn(1, MOST_MS))
        if (s.recent.totalCount < WINDOW) return
        s.before = s.recent
        s.recent = histogram()
    }

    /** From this age on an arriving machine is not counted on. */
    fun overdueAfterS(type: MachineType): Double {
        val usual = type.bootS * USUAL
        val s = seen[type.name] ?: return usual
        val both = s.before.copy().also { it.add(s.recent) }
        if (both.totalCount < ENOUGH) return usual
        return maxOf(usual, both.getValueAtPercentile(NEARLY_ALL) / 1000.0 * MARGIN)
    }

    private companion object {
        const val WINDOW = 40L
        const val ENOUGH = 10L
        const val MOST_MS = 3_600_000L
        const val NEARLY_ALL = 90.0
        const val MARGIN = 1.2
        const val USUAL = 1.5

        fun histogram() = Histogram(MOST_MS, 2)
    }
}
