package plankwall.model

import java.math.BigDecimal
import java.math.RoundingMode

/**
 * What a task takes or a machine has, in thousandths. Whole numbers, because sums of decimal fractions drift and a
 * quota that is broken by a rounding error is broken all the same.
 */
data class Resources(val cpus: Long, val gpus: Long, val memory: Long) {
    operator fun plus(o: Resources) = Resources(cpus + o.cpus, gpus + o.gpus, memory + o.memory)

    operator fun minus(o: Resources) = Resources(cpus - o.cpus, gpus - o.gpus, memory - o.memory)

    operator fun times(n: Int) = Resources(cpus * n, gpus * n, memory * n)

    fun fitsIn(o: Resources): Boolean = cpus <= o.cpus && gpus <= o.gpus && memory <= o.memory

    /** The largest of the parts that this is of [whole]; what is below nothing counts as nothing. */
    fun partOf(whole: Resources): Double {
        fun part(p: Long, w: Long) = if (p <= 0 || w <= 0) 0.0 else p.toDouble() / w
        return maxOf(part(cpus, whole.cpus), part(gpus, whole.gpus), part(memory, whole.memory))
    }

    fun atLeastNothing() = Resources(cpus.coerceAtLeast(0), gpus.coerceAtLeast(0), memory.coerceAtLeast(0))

    fun least(o: Resources) = Resources(minOf(cpus, o.cpus), minOf(gpus, o.gpus), minOf(memory, o.memory))

    /** How many of [need] fit side by side. */
    fun holds(need: Resources): Int {
        fun part(have: Long, want: Long) = if (want <= 0) Long.MAX_VALUE else have / want
        return minOf(part(cpus, need.cpus), part(gpus, need.gpus), part(memory, need.memory))
            .coerceIn(0, 1_000_000).toInt()
    }

    companion object {
        val NONE = Resources(0, 0, 0)

        /** A need is rounded up and a capacity down, so that rounding never overfills a machine. */
        fun need(value: BigDecimal): Long = value.movePointRight(3).setScale(0, RoundingMode.CEILING).longValueExact()

        fun capacity(value: BigDecimal): Long = value.movePointRight(3).setScale(0, RoundingMode.FLOOR).longValueExact()
    }
}
