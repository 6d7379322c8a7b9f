package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import plankwall.model.Resources
import java.math.BigDecimal

/**
 * Amounts in messages and stored records: decimal numbers of seconds, gigabytes, CPUs and the like. What is accepted is
 * kept in a form that is written and read back as an equal value, by this build and by earlier ones, which read at most
 * 60 decimals.
 */
internal object Amounts {
    /** The largest amount that is kept, in any unit. */
    val LARGEST: BigDecimal = BigDecimal(1_000_000_000L)

    /** The smallest amount other than 0 that is kept: a nanosecond, a byte. */
    private const val SMALLEST = 1e-9

    /** The digits behind the decimal point of an amount in thousandths. */
    private const val THOUSANDTHS_DIGITS = 3

    /**
     * Returns [value] with its magnitude moved into [SMALLEST]..[LARGEST], unless it is 0. A tiny amount does not
     * become 0, which has a meaning of its own: a task with a checkpoint interval of 0 saves none.
     */
    fun toDouble(value: BigDecimal): Double =
        value.signum() * value.abs().toDouble().coerceIn(SMALLEST, LARGEST.toDouble())

    /**
     * Returns [value], an amount of a resource that a machine offers, in thousandths. A negative amount counts as 0,
     * and one above [LARGEST] as [LARGEST]: no task may need more.
     */
    fun toCapacity(value: BigDecimal): Long = Resources.capacity(value.coerceIn(BigDecimal.ZERO, LARGEST))

    /** Returns [thousandths] as the decimal number that stands for it exactly, with one decimal at least. */
    fun fromThousandths(thousandths: Long): BigDecimal {
        val shortest = BigDecimal.valueOf(thousandths, THOUSANDTHS_DIGITS).stripTrailingZeros()
        return if (shortest.scale() < 1) shortest.setScale(1) else shortest
    }
}

/** Writes the fields with the CPUs, GPUs and memory of [resources]. */
internal fun JsonGenerator.writeResources(resources: Resources) {
    writeNumberField(Fields.CPUS, Amounts.fromThousandths(resources.cpus))
    writeNumberField(Fields.GPUS, Amounts.fromThousandths(resources.gpus))
    writeNumberField(Fields.MEMORY_GB, Amounts.fromThousandths(resources.memory))
}

/** Returns the current value, which must be a number, as [Amounts.toDouble] keeps it. */
internal fun JsonParser.readAmount(name: String): Double = Amounts.toDouble(readDecimal(name))

/** Returns the current value like [readAmount]; null for null. */
internal fun JsonParser.readNullableAmount(name: String): Double? =
    if (currentToken() == JsonToken.VALUE_NULL) null else readAmount(name)
