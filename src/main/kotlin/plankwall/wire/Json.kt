package plankwall.wire

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import java.io.ByteArrayOutputStream
import java.math.BigDecimal

/** What most messages fit. */
private const val INITIAL_BYTES = 256

internal val jsonFactory: JsonFactory = JsonFactory.builder()
    .streamReadConstraints(
        StreamReadConstraints.builder()
            .maxNestingDepth(MAX_DEPTH)
            .maxNumberLength(MAX_NUMBER_LENGTH)
            .maxStringLength(MAX_STRING_LENGTH)
            .build(),
    ).build()

private const val MAX_DEPTH = 40
private const val MAX_NUMBER_LENGTH = 100
private const val MAX_STRING_LENGTH = 16 shl 20
private const val MAX_INTEGER_DIGITS = 18
private const val MAX_DECIMALS = 60

/**
 * Reads [bytes] as one JSON value and nothing behind it; throws [MalformedMessageException] for whatever is wrong with
 * it.
 */
internal inline fun <T> parseJson(bytes: ByteArray, read: (JsonParser) -> T): T = try {
    jsonFactory.createParser(bytes).use { p ->
        p.nextToken() ?: throw MalformedMessageException("empty body")
        val value = read(p)
        if (p.nextToken() != null) throw MalformedMessageException("more than one JSON value")
        value
    }
} catch (e: JsonProcessingException) {
    throw MalformedMessageException("not JSON: ${e.originalMessage}", e)
} catch (e: ArithmeticException) {
    throw MalformedMessageException("number out of range", e)
}

/** The JSON that [write] generates, as UTF-8. */
internal inline fun writeJson(write: JsonGenerator.() -> Unit): ByteArray {
    val out = ByteArrayOutputStream(INITIAL_BYTES)
    jsonFactory.createGenerator(out).use { it.write() }
    return out.toByteArray()
}

internal inline fun JsonGenerator.obj(fields: JsonGenerator.() -> Unit) {
    writeStartObject()
    fields()
    writeEndObject()
}

internal inline fun JsonGenerator.arr(field: String, items: JsonGenerator.() -> Unit) {
    writeArrayFieldStart(field)
    items()
    writeEndArray()
}

/**
 * Walks the fields of the object that the parser stands on. [field] must not move past its value; leftovers are
 * skipped.
 */
internal inline fun JsonParser.fields(field: JsonParser.(String) -> Unit) {
    if (currentToken() != JsonToken.START_OBJECT) throw MalformedMessageException("not an object")
    while (nextToken() != JsonToken.END_OBJECT) {
        val name = currentName()
        nextToken()
        field(name)
        // A callee that read a whole object or array stands on its end; one that ignored it stands on its start.
        if (currentToken() == JsonToken.START_OBJECT || currentToken() == JsonToken.START_ARRAY) skipChildren()
    }
}

/** Walks the elements of the array that the parser stands on; [element] must not move past its value. */
internal inline fun JsonParser.elements(element: JsonParser.() -> Unit) {
    if (currentToken() != JsonToken.START_ARRAY) throw MalformedMessageException("not an array")
    while (nextToken() != JsonToken.END_ARRAY) {
        element()
        if (currentToken() == JsonToken.START_OBJECT || currentToken() == JsonToken.START_ARRAY) skipChildren()
    }
}

internal fun JsonParser.text(name: String): String {
    if (currentToken() != JsonToken.VALUE_STRING) throw MalformedMessageException(name, "not a string")
    return text
}

internal fun JsonParser.textOrNull(name: String): String? =
    if (currentToken() == JsonToken.VALUE_NULL) null else text(name)

internal fun JsonParser.flag(name: String): Boolean = when (currentToken()) {
    JsonToken.VALUE_TRUE -> true
    JsonToken.VALUE_FALSE -> false
    else -> throw MalformedMessageException(name, "not true or false")
}

internal fun JsonParser.whole(name: String): Long {
    if (currentToken() == JsonToken.VALUE_NUMBER_INT) return longValue
    // Some clients write counts as 3.0.
    val exact = decimal(name)
    return try {
        exact.longValueExact()
    } catch (e: ArithmeticException) {
        throw MalformedMessageException(name, "not a whole number", e)
    }
}

internal fun JsonParser.decimal(name: String): BigDecimal {
    if (currentToken()?.isNumeric != true) throw MalformedMessageException(name, "not a number")
    val value = decimalValue
    if (value.precision() - value.scale() > MAX_INTEGER_DIGITS || value.scale() > MAX_DECIMALS) {
        throw MalformedMessageException(name, "out of range")
    }
    return value
}

internal fun JsonParser.double(name: String): Double = decimal(name).toDouble()

internal fun JsonParser.doubleOrNull(name: String): Double? =
    if (currentToken() == JsonToken.VALUE_NULL) null else double(name)
