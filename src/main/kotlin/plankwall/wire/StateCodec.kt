package plankwall.wire

import java.io.ByteArrayOutputStream

data class StateItem(val key: String, val value: Stored, val version: Long)

data class Guard(val key: String, val version: Long)

sealed interface Write {
    data class Put(val key: String, val value: Stored, val lease: Long? = null) : Write

    data class Remove(val key: String) : Write
}

sealed interface StateOp {
    data class Get(val key: String) : StateOp

    data class Range(val prefix: String, val after: String?, val limit: Int) : StateOp

    data class Txn(val guards: List<Guard>, val writes: List<Write>) : StateOp

    data class Grant(val ttlMs: Long) : StateOp

    data class Renew(val lease: Long) : StateOp

    data class Drop(val lease: Long) : StateOp

    /** What has changed so far, without waiting. */
    data class Changes(val prefix: String, val after: Long) : StateOp

    data class Watch(val prefix: String, val after: Long, val waitMs: Long) : StateOp
}

data class StateEvent(val key: String, val value: Stored?, val version: Long)

sealed interface StateResult {
    data class Item(val item: StateItem?) : StateResult

    data class Items(val items: List<StateItem>, val more: Boolean, val revision: Long) : StateResult

    data class Committed(val revision: Long) : StateResult

    data class Conflict(val failed: Set<String>) : StateResult

    data class Granted(val lease: Long) : StateResult

    data object Renewed : StateResult

    data object NoLease : StateResult

    data class News(val events: List<StateEvent>, val revision: Long) : StateResult

    data object TooOld : StateResult

    /** 400: not executed, and never will be as it is: too large, or malformed. */
    data object Rejected : StateResult

    /** 429, 503, or never sent: surely not executed. */
    data object Refused : StateResult

    /** No answer, or one that can't be read: may have been executed, or may still be. */
    data object Unknown : StateResult
}

object StateCodec {
    fun txn(op: StateOp.Txn): ByteArray = writeJson {
        obj {
            arr("guards") {
                op.guards.forEach {
                    obj {
                        writeStringField("key", it.key)
                        writeNumberField("stamp", it.version)
                    }
                }
            }
            arr("writes") {
                op.writes.forEach { w ->
                    obj {
                        when (w) {
                            is Write.Put -> {
                                writeStringField("set", w.key)
                                writeFieldName("data")
                                RecordCodec.write(this, w.value)
                                if (w.lease != null) writeNumberField("permit", w.lease)
                            }
                            is Write.Remove -> writeStringField("remove", w.key)
                        }
                    }
                }
            }
        }
    }

    /** How many bytes [record] takes as a stored value. */
    fun sizeOf(record: Stored): Int = writeJson { RecordCodec.write(this, record) }.size

    fun grant(ttlMs: Long): ByteArray = writeJson { obj { writeNumberField("life_ms", ttlMs) } }

    /** The value comes as bytes first, since its key, which says what it is, may stand behind it. */
    internal class Entry {
        var key: String? = null
        var removed: String? = null
        var data: ByteArray? = null
        var version = 0L
        var lease: Long? = null

        fun value(): Stored? {
            val k = key ?: return null
            return data?.let { bytes -> parseJson(bytes) { RecordCodec.read(k, it) } }
        }

        fun item(): StateItem? {
            val k = key ?: return null
            return value()?.let { StateItem(k, it, version) }
        }
    }

    internal fun com.fasterxml.jackson.core.JsonParser.entry(): Entry {
        val entry = Entry()
        fields { name ->
            when (name) {
                "key", "set" -> entry.key = text(name)
                "remove" -> entry.removed = text(name)
                "data" -> {
                    val out = ByteArrayOutputStream()
                    jsonFactory.createGenerator(out).use { it.copyCurrentStructure(this) }
                    entry.data = out.toByteArray()
                }
                "stamp" -> entry.version = whole(name)
                "permit" -> entry.lease = whole(name)
            }
        }
        return entry
    }

    fun item(bytes: ByteArray): StateResult = parseJson(bytes) { StateResult.Item(it.entry().item()) }

    fun items(bytes: ByteArray): StateResult = parseJson(bytes) { p ->
        val items = ArrayList<StateItem>()
        var more = false
        var revision = 0L
        p.fields { name ->
            when (name) {
                "items" -> elements { entry().item()?.let(items::add) }
                "has_next" -> more = flag(name)
                "ledger" -> revision = whole(name)
            }
        }
        StateResult.Items(items, more, revision)
    }

    fun news(bytes: ByteArray): StateResult = parseJson(bytes) { p ->
        val events = ArrayList<StateEvent>()
        var revision = 0L
        p.fields { name ->
            when (name) {
                "news" -> elements {
                    val e = entry()
                    val removed = e.removed
                    val key = e.key
                    if (removed != null) {
                        events.add(StateEvent(removed, null, e.version))
                    } else if (key != null) {
                        e.value()?.let { events.add(StateEvent(key, it, e.version)) }
                    }
                }
                "ledger" -> revision = whole(name)
            }
        }
        StateResult.News(events, revision)
    }

    fun committed(bytes: ByteArray): StateResult = StateResult.Committed(number(bytes, "ledger"))

    fun granted(bytes: ByteArray): StateResult = StateResult.Granted(number(bytes, "permit"))

    fun conflict(bytes: ByteArray): StateResult = parseJson(bytes) { p ->
        val failed = HashSet<String>()
        p.fields { name -> if (name == "failed") elements { failed.add(text(name)) } }
        StateResult.Conflict(failed)
    }

    private fun number(bytes: ByteArray, field: String): Long = parseJson(bytes) { p ->
        var found = -1L
        p.fields { name -> if (name == field) found = whole(name) }
        if (found < 0) throw MalformedMessageException("$field: missing")
        found
    }
}
