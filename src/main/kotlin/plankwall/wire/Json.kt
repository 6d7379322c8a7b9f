package plankwall.wire

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.math.BigDecimal

/** The initial size of an output buffer, which most messages fit. */
private const val INITIAL_BUFFER_BYTES = 256

/** The JSON factory of all codecs. Its limits bound what a hostile message can cost. */
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

/**
 * The maximum number of digits of a number before and behind its decimal point. Every Double has fewer, so each number
 * that any build has written as a Double can be read. The limit bounds what an exponent can cost.
 */
private const val MAX_DIGITS = 400

/**
 * Parses [bytes], which must hold exactly one JSON value, with [read]; the parser stands on the value's first token.
 * Throws [MalformedMessageException] for anything else.
 */
internal inline fun <T> parseJson(bytes: ByteArray, read: (JsonParser) -> T): T = try {
    jsonFactory.createParser(bytes).use { parser ->
        parser.nextToken() ?: throw MalformedMessageException("empty body")
        val value = read(parser)
        if (parser.nextToken() != null) throw MalformedMessageException("more than one JSON value")
        value
    }
} catch (exception: JsonProcessingException) {
    throw MalformedMessageException("not JSON: ${exception.originalMessage}", exception)
} catch (exception: IOException) {
    // Bytes in no encoding of JSON, such as UTF-32 in an unusual byte order.
    throw MalformedMessageException("not JSON: ${exception.message}", exception)
} catch (exception: ArithmeticException) {
    throw MalformedMessageException("number out of range", exception)
} catch (exception: NumberFormatException) {
    // An exponent that no number type can hold.
    throw MalformedMessageException("number out of range", exception)
}

/** Returns the JSON that [write] generates, in UTF-8. */
internal inline fun writeJson(write: JsonGenerator.() -> Unit): ByteArray {
    val out = ByteArrayOutputStream(INITIAL_BUFFER_BYTES)
    jsonFactory.createGenerator(out).use { it.write() }
    return out.toByteArray()
}

/** Writes one JSON object with the fields that [writeFields] generates. */
internal inline fun JsonGenerator.writeJsonObject(writeFields: JsonGenerator.() -> Unit) {
    writeStartObject()
    writeFields()
    writeEndObject()
}

/** Writes the field [field] with a JSON array of the elements that [writeElements] generates. */
internal inline fun JsonGenerator.writeJsonArray(field: String, writeElements: JsonGenerator.() -> Unit) {
    writeArrayFieldStart(field)
    writeElements()
    writeEndArray()
}

/**
 * Calls [readField] with the name of each field of the object at which the parser stands, the parser being at the
 * field's value. [readField] must not move past the value; an object or array that it does not read is skipped.
 */
internal inline fun JsonParser.forEachField(readField: JsonParser.(String) -> Unit) {
    if (currentToken() != JsonToken.START_OBJECT) throw MalformedMessageException("not an object")
    while (nextToken() != JsonToken.END_OBJECT) {
        val name = currentName()
        nextToken()
        readField(name)
        // readField leaves the parser at the end of an object or array that it read, and at the start of one that it
        // ignored.
        if (currentToken() == JsonToken.START_OBJECT || currentToken() == JsonToken.START_ARRAY) skipChildren()
    }
}

/**
 * Calls [readElement] for each element of the array at which the parser stands. [readElement] must not move past the
 * element; an object or array that it does not read is skipped.
 */
internal inline fun JsonParser.forEachElement(readElement: JsonParser.() -> Unit) {
    if (currentToken() != JsonToken.START_ARRAY) throw MalformedMessageException("not an array")
    while (nextToken() != JsonToken.END_ARRAY) {
        readElement()
        if (currentToken() == JsonToken.START_OBJECT || currentToken() == JsonToken.START_ARRAY) skipChildren()
    }
}

/** Returns the current value, which must be a string. [name] names the field in the error message. */
internal fun JsonParser.readString(name: String): String {
    if (currentToken() != JsonToken.VALUE_STRING) throw MalformedMessageException(name, "not a string")
    return text
}

/** Returns the current value, which must be a string or null. */
internal fun JsonParser.readNullableString(name: String): String? =
    if (currentToken() == JsonToken.VALUE_NULL) null else readString(name)

/** Returns the current value, which must be true or false. */
internal fun JsonParser.readBoolean(name: String): Boolean = when (currentToken()) {
    JsonToken.VALUE_TRUE -> true
    JsonToken.VALUE_FALSE -> false
    else -> throw MalformedMessageException(name, "not true or false")
}

/** Returns the current value, which must be a number without a fractional part that fits a Long. */
internal fun JsonParser.readWholeNumber(name: String): Long {
    if (currentToken() == JsonToken.VALUE_NUMBER_INT) return longValue
    // Some clients write whole numbers with a decimal point, for example 3.0.
    val exact = readDecimal(name)
    return try {
        exact.longValueExact()
    } catch (exception: ArithmeticException) {
        throw MalformedMessageException(name, "not a whole number", exception)
    }
}

/** Returns the current value, which must be a number of at most [MAX_DIGITS] digits on each side of its point. */
internal fun JsonParser.readDecimal(name: String): BigDecimal {
    if (currentToken()?.isNumeric != true) throw MalformedMessageException(name, "not a number")
    val value = decimalValue
    val integerDigits = value.precision().toLong() - value.scale()
    if (integerDigits > MAX_DIGITS || value.scale() > MAX_DIGITS) throw MalformedMessageException(name, "out of range")
    return value
}
