package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import java.io.ByteArrayOutputStream

/** Requests to the state service, and its answers. Those that read throw [MalformedMessageException]. */
object StateCodec {
    fun txn(op: StateOp.Txn): ByteArray = writeJson {
        obj {
            arr("guards") { op.guards.forEach { guard(it) } }
            arr("writes") { op.writes.forEach { write(it) } }
        }
    }

    private fun JsonGenerator.guard(guard: Guard) = obj {
        writeStringField("key", guard.key)
        writeNumberField(Fields.VERSION, guard.version)
    }

    private fun JsonGenerator.write(write: Write) = obj {
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

    /** How many bytes [record] takes as a stored value. */
    fun sizeOf(record: Stored): Int = writeJson { RecordCodec.write(this, record) }.size

    fun grant(ttlMs: Long): ByteArray = writeJson { obj { writeNumberField(Fields.TTL_MS, ttlMs) } }

    /**
     * A key with its value, a write or a change, whichever fields it has. The value is kept as bytes until it is asked
     * for, since the key, which says what kind of record it is, may follow it.
     */
    internal class Entry {
        var key: String? = null
        var removed: String? = null
        var data: ByteArray? = null
        var version = 0L
        var lease: Long? = null

        /** Null without a key or a value, and for a kind of record that this version does not know. */
        fun value(): Stored? {
            val valueKey = key ?: return null
            return data?.let { bytes -> parseJson(bytes) { RecordCodec.read(valueKey, it) } }
        }

        fun item(): StateItem? {
            val itemKey = key ?: return null
            return value()?.let { StateItem(itemKey, it, version) }
        }

        /** Null for a change of a kind of record that this version does not know. */
        fun event(): StateEvent? {
            removed?.let { return StateEvent(it, null, version) }
            return item()?.let { StateEvent(it.key, it.value, it.version) }
        }
    }

    internal fun JsonParser.entry(): Entry {
        val entry = Entry()
        fields { name ->
            when (name) {
                "key", "set" -> entry.key = text(name)
                "remove" -> entry.removed = text(name)
                "data" -> entry.data = copyValue()
                Fields.VERSION -> entry.version = whole(name)
                Fields.LEASE -> entry.lease = whole(name)
            }
        }
        return entry
    }

    private fun JsonParser.copyValue(): ByteArray {
        val copy = ByteArrayOutputStream()
        jsonFactory.createGenerator(copy).use { it.copyCurrentStructure(this) }
        return copy.toByteArray()
    }

    fun item(bytes: ByteArray): StateResult = parseJson(bytes) { StateResult.Item(it.entry().item()) }

    fun items(bytes: ByteArray): StateResult = parseJson(bytes) { p ->
        val items = ArrayList<StateItem>()
        var more = false
        var revision = 0L
        p.fields { name ->
            when (name) {
                "items" -> elements { entry().item()?.let(items::add) }
                Fields.HAS_MORE -> more = flag(name)
                Fields.REVISION -> revision = whole(name)
            }
        }
        StateResult.Items(items, more, revision)
    }

    fun news(bytes: ByteArray): StateResult = parseJson(bytes) { p ->
        val events = ArrayList<StateEvent>()
        var revision = 0L
        p.fields { name ->
            when (name) {
                Fields.EVENTS -> elements { entry().event()?.let(events::add) }
                Fields.REVISION -> revision = whole(name)
            }
        }
        StateResult.News(events, revision)
    }

    fun committed(bytes: ByteArray): StateResult = StateResult.Committed(number(bytes, Fields.REVISION))

    fun granted(bytes: ByteArray): StateResult = StateResult.Granted(number(bytes, Fields.LEASE))

    fun conflict(bytes: ByteArray): StateResult = parseJson(bytes) { p ->
        val failed = HashSet<String>()
        p.fields { name -> if (name == "failed") elements { failed.add(text(name)) } }
        StateResult.Conflict(failed)
    }

    private fun number(bytes: ByteArray, field: String): Long = parseJson(bytes) { p ->
        var found = -1L
        p.fields { name -> if (name == field) found = whole(name) }
        if (found < 0) throw MalformedMessageException(field, "missing")
        found
    }
}
