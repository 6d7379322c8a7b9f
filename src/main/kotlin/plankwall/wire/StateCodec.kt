package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import java.io.ByteArrayOutputStream

/**
 * Codec of the requests to the state service and of its answers. Functions that read throw [MalformedMessageException].
 */
object StateCodec {
    /** Writes the body of a transaction request. */
    fun writeTransaction(op: StateOp.Txn): ByteArray = writeJson {
        writeJsonObject {
            writeJsonArray("guards") { op.guards.forEach { writeGuard(it) } }
            writeJsonArray("writes") { op.writes.forEach { writeOperation(it) } }
        }
    }

    private fun JsonGenerator.writeGuard(guard: Guard) = writeJsonObject {
        writeStringField("key", guard.key)
        writeNumberField(Fields.VERSION, guard.version)
    }

    private fun JsonGenerator.writeOperation(write: Write) = writeJsonObject {
        when (write) {
            is Write.Put -> {
                writeStringField("set", write.key)
                writeFieldName("data")
                RecordCodec.write(this, write.value)
                if (write.lease != null) writeNumberField(Fields.LEASE, write.lease)
            }
            is Write.Remove -> writeStringField("remove", write.key)
        }
    }

    /** Returns the number of bytes that [record] takes as a stored value. */
    fun sizeOf(record: Stored): Int = writeJson { RecordCodec.write(this, record) }.size

    /** Writes the body of the request for a new lease of [ttlMs] milliseconds. */
    fun writeGrant(ttlMs: Long): ByteArray = writeJson { writeJsonObject { writeNumberField(Fields.TTL_MS, ttlMs) } }

    /**
     * The fields of a JSON object that is an item, a guard, a write or a change; those that it lacks are null or 0. The
     * value is kept as bytes until [readValue] is called, since the key, which determines the kind of record, may come
     * after the value.
     */
    internal class Entry {
        var key: String? = null
        var removed: String? = null
        var data: ByteArray? = null
        var version = 0L
        var lease: Long? = null

        /** Reads the value. Null without a key or a value, and for a kind of record that this version does not know. */
        fun readValue(): Stored? {
            val valueKey = key ?: return null
            return data?.let { bytes -> parseJson(bytes) { RecordCodec.read(valueKey, it) } }
        }

        /** Returns this entry as an item; null under the same conditions as [readValue]. */
        fun toItem(): StateItem? {
            val itemKey = key ?: return null
            return readValue()?.let { StateItem(itemKey, it, version) }
        }

        /** Returns this entry as a change; null for a change of a kind of record that this version does not know. */
        fun toEvent(): StateEvent? {
            removed?.let { return StateEvent(it, null, version) }
            return toItem()?.let { StateEvent(it.key, it.value, it.version) }
        }
    }

    /** Reads the object at which the parser stands. */
    internal fun JsonParser.readEntry(): Entry {
        val entry = Entry()
        forEachField { name ->
            when (name) {
                "key", "set" -> entry.key = readString(name)
                "remove" -> entry.removed = readString(name)
                "data" -> entry.data = copyValue()
                Fields.VERSION -> entry.version = readWholeNumber(name)
                Fields.LEASE -> entry.lease = readWholeNumber(name)
            }
        }
        return entry
    }

    private fun JsonParser.copyValue(): ByteArray {
        val copy = ByteArrayOutputStream()
        jsonFactory.createGenerator(copy).use { it.copyCurrentStructureExact(this) }
        return copy.toByteArray()
    }

    /** Reads the answer to a [StateOp.Get]. */
    fun readItem(bytes: ByteArray): StateResult = parseJson(bytes) { StateResult.Item(it.readEntry().toItem()) }

    /** Reads the answer to a [StateOp.Range]. Items of a kind that this version does not know are left out. */
    fun readItems(bytes: ByteArray): StateResult = parseJson(bytes) { parser ->
        val items = ArrayList<StateItem>()
        var more = false
        var revision = 0L
        parser.forEachField { name ->
            when (name) {
                "items" -> forEachElement { readEntry().toItem()?.let(items::add) }
                Fields.HAS_MORE -> more = readBoolean(name)
                Fields.REVISION -> revision = readWholeNumber(name)
            }
        }
        StateResult.Items(items, more, revision)
    }

    /** Reads the answer to a [StateOp.Changes] or a [StateOp.Watch], without changes of an unknown kind. */
    fun readChanges(bytes: ByteArray): StateResult = parseJson(bytes) { parser ->
        val events = ArrayList<StateEvent>()
        var revision = 0L
        parser.forEachField { name ->
            when (name) {
                Fields.EVENTS -> forEachElement { readEntry().toEvent()?.let(events::add) }
                Fields.REVISION -> revision = readWholeNumber(name)
            }
        }
        StateResult.News(events, revision)
    }

    /** Reads the answer to a [StateOp.Txn] that was applied. */
    fun readCommitted(bytes: ByteArray): StateResult = StateResult.Committed(readNumberField(bytes, Fields.REVISION))

    /** Reads the answer to a [StateOp.Grant]. */
    fun readGranted(bytes: ByteArray): StateResult = StateResult.Granted(readNumberField(bytes, Fields.LEASE))

    /** Reads the answer to a [StateOp.Txn] that was not applied because a guard did not hold. */
    fun readConflict(bytes: ByteArray): StateResult = parseJson(bytes) { parser ->
        val failed = HashSet<String>()
        parser.forEachField { name -> if (name == "failed") forEachElement { failed.add(readString(name)) } }
        StateResult.Conflict(failed)
    }

    private fun readNumberField(bytes: ByteArray, field: String): Long = parseJson(bytes) { parser ->
        var found = -1L
        parser.forEachField { name -> if (name == field) found = readWholeNumber(name) }
        if (found < 0) throw MalformedMessageException(field, "missing")
        found
    }
}
