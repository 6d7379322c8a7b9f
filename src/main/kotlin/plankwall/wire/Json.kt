package plankwall.wire

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import java.io.ByteArrayOutputStream
import java.math.BigDecimal

/** A message that is not what the protocol says. Carries the reason for the log or the user. */
class MalformedMessageException(reason: String) : Exception(reason, null, false, false)

internal val jsonFactory: JsonFactory = JsonFactory.builder()
    .streamReadConstraints(
        StreamReadConstraints.builder().maxNestingDepth(40).maxNumberLength(100).maxStringLength(16 shl 20).build(),
    ).build()

/** Reads [bytes] as one JSON value and nothing behind it; whatever is wrong with it becomes a [MalformedMessageException]. */
internal inline fun <T> parseJson(bytes: ByteArray, read: (JsonParser) -> T): T = try {
    jsonFactory.createParser(bytes).use { p ->
        p.nextToken() ?: throw MalformedMessageException("empty body")
        val value = read(p)
        if (p.nextToken() != null) throw MalformedMessageException("more than one JSON value")
        value
    }
} catch (e: JsonProcessingException) {
    throw MalformedMessageException("not JSON: ${e.originalMessage}")
} catch (e: ArithmeticException) {
    throw MalformedMessageException("number out of range")
}

internal inline fun writeJson(write: JsonGenerator.() -> Unit): ByteArray {
    val out = ByteArrayOutputStream(256)
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

internal inline fun JsonParser.elements(element: JsonParser.() -> Unit) {
    if (currentToken() != JsonToken.START_ARRAY) throw MalformedMessageException("not an array")
    while (nextToken() != JsonToken.END_ARRAY) {
        element()
        if (currentToken() == JsonToken.START_OBJECT || currentToken() == JsonToken.START_ARRAY) skipChildren()
    }
}

internal fun JsonParser.text(name: String): String {
    if (currentToken() != JsonToken.VALUE_STRING) throw MalformedMessageException("$name: not a string")
    return text
}

internal fun JsonParser.textOrNull(name: String): String? =
    if (currentToken() == JsonToken.VALUE_NULL) null else text(name)

internal fun JsonParser.flag(name: String): Boolean = when (currentToken()) {
    JsonToken.VALUE_TRUE -> true
    JsonToken.VALUE_FALSE -> false
    else -> throw MalformedMessageException("$name: not true or false")
}

internal fun JsonParser.whole(name: String): Long {
    if (currentToken() == JsonToken.VALUE_NUMBER_INT) return longValue
    // Some writers put counts as 3.0.
    val exact = decimal(name)
    return try {
        exact.longValueExact()
    } catch (_: ArithmeticException) {
        throw MalformedMessageException("$name: not a whole number")
    }
}

internal fun JsonParser.decimal(name: String): BigDecimal {
    if (currentToken()?.isNumeric != true) throw MalformedMessageException("$name: not a number")
    val d = decimalValue
    if (d.precision() - d.scale() > 18 || d.scale() > 60) throw MalformedMessageException("$name: out of range")
    return d
}

internal fun JsonParser.double(name: String): Double = decimal(name).toDouble()

internal fun JsonParser.doubleOrNull(name: String): Double? =
    if (currentToken() == JsonToken.VALUE_NULL) null else double(name)
