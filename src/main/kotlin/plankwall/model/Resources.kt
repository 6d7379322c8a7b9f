package plankwall.model

import java.math.BigDecimal
import java.math.RoundingMode

/**
 * The resources that a task needs or a machine has, in thousandths of a CPU, of a GPU and of a GB of memory. They are
 * whole numbers, because rounding errors add up in sums of floating-point numbers, and a quota must not be exceeded by
 * a rounding error either.
 */
data class Resources(val cpus: Long, val gpus: Long, val memory: Long) {
    /** Returns the sum of each resource. */
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memory + other.memory)

    /** Returns the difference of each resource, which may be negative. */
    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memory - other.memory)

    /** Returns each resource multiplied by [count]. */
    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memory * count)

    /** Whether no resource exceeds that of [capacity]. */
    fun fitsIn(capacity: Resources): Boolean =
        cpus <= capacity.cpus && gpus <= capacity.gpus && memory <= capacity.memory

    /**
     * Returns the dominant share: the largest share of a resource of [whole] that these resources take. A negative
     * amount counts as 0.
     */
    fun dominantShareOf(whole: Resources): Double {
        fun share(amount: Long, total: Long) = if (amount <= 0 || total <= 0) 0.0 else amount.toDouble() / total
        return maxOf(share(cpus, whole.cpus), share(gpus, whole.gpus), share(memory, whole.memory))
    }

    /** Returns these resources with every negative amount replaced by 0. */
    fun coerceAtLeastZero() = Resources(cpus.coerceAtLeast(0), gpus.coerceAtLeast(0), memory.coerceAtLeast(0))

    /** Returns the smaller amount of each resource. */
    fun minOfEach(other: Resources) =
        Resources(minOf(cpus, other.cpus), minOf(gpus, other.gpus), minOf(memory, other.memory))

    /** Returns the number of tasks that fit these resources at the same time if each takes [need]. */
    fun countFitting(need: Resources): Int {
        fun taskCount(available: Long, needed: Long) = if (needed <= 0) Long.MAX_VALUE else available / needed
        return minOf(taskCount(cpus, need.cpus), taskCount(gpus, need.gpus), taskCount(memory, need.memory))
            .coerceIn(0, MAX_COUNT).toInt()
    }

    companion object {
        /** No resources at all. */
        val NONE = Resources(0, 0, 0)
        private const val MAX_COUNT = 1_000_000L

        /** The number of digits by which the decimal point moves when an amount is converted to thousandths. */
        private const val SCALE_DIGITS = 3

        /** Returns a needed amount in thousandths, rounded up, so that rounding never overfills a machine. */
        fun need(value: BigDecimal): Long = toThousandths(value, RoundingMode.CEILING)

        /** Returns an available amount in thousandths, rounded down, so that rounding never overfills a machine. */
        fun capacity(value: BigDecimal): Long = toThousandths(value, RoundingMode.FLOOR)

        private fun toThousandths(value: BigDecimal, rounding: RoundingMode): Long =
            value.movePointRight(SCALE_DIGITS).setScale(0, rounding).longValueExact()
    }
}
