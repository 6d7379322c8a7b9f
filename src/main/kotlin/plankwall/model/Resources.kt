package plankwall.model

import java.math.BigDecimal
import java.math.RoundingMode

/**
 * What a task needs or a machine has, in thousandths of a CPU, a GPU and a GB. Whole numbers, because sums of decimal
 * fractions drift, and a quota must not be exceeded by a rounding error either.
 */
data class Resources(val cpus: Long, val gpus: Long, val memory: Long) {
    /** Sum. */
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memory + other.memory)

    /** Difference; may be negative. */
    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memory - other.memory)

    /** What [n] of it take. */
    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memory * count)

    /** Whether every resource is at most that of [capacity]. */
    fun fitsIn(capacity: Resources): Boolean =
        cpus <= capacity.cpus && gpus <= capacity.gpus && memory <= capacity.memory

    /** The dominant share: the largest of this one's shares of [whole]'s resources; negative ones count as 0. */
    fun partOf(whole: Resources): Double {
        fun part(amount: Long, total: Long) = if (amount <= 0 || total <= 0) 0.0 else amount.toDouble() / total
        return maxOf(part(cpus, whole.cpus), part(gpus, whole.gpus), part(memory, whole.memory))
    }

    /** With 0 for negative amounts. */
    fun atLeastNothing() = Resources(cpus.coerceAtLeast(0), gpus.coerceAtLeast(0), memory.coerceAtLeast(0))

    /** The smaller amount of each resource. */
    fun least(other: Resources) =
        Resources(minOf(cpus, other.cpus), minOf(gpus, other.gpus), minOf(memory, other.memory))

    /** How many tasks that take [need] each fit at the same time. */
    fun holds(need: Resources): Int {
        fun part(have: Long, want: Long) = if (want <= 0) Long.MAX_VALUE else have / want
        return minOf(part(cpus, need.cpus), part(gpus, need.gpus), part(memory, need.memory))
            .coerceIn(0, MAX_COUNT).toInt()
    }

    companion object {
        val NONE = Resources(0, 0, 0)
        private const val MAX_COUNT = 1_000_000L

        /** Thousandths: the decimal point is moved by so many digits. */
        private const val SCALE_DIGITS = 3

        /** [value] in thousandths, rounded up, so that rounding never overfills a machine. */
        fun need(value: BigDecimal): Long = scaled(value, RoundingMode.CEILING)

        /** [value] in thousandths, rounded down, so that rounding never overfills a machine. */
        fun capacity(value: BigDecimal): Long = scaled(value, RoundingMode.FLOOR)

        private fun scaled(value: BigDecimal, rounding: RoundingMode): Long =
            value.movePointRight(SCALE_DIGITS).setScale(0, rounding).longValueExact()
    }
}
