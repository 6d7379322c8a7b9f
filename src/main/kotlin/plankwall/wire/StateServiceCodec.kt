package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import plankwall.wire.StateCodec.entry

/**
 * The state service's side of its protocol, for simulations: reads what [StateCodec] writes and writes what it reads.
 */
object StateServiceCodec {
    fun readTxn(bytes: ByteArray): StateOp.Txn = parseJson(bytes) { p ->
        val guards = ArrayList<Guard>()
        val writes = ArrayList<Write>()
        p.fields { name ->
            when (name) {
                "guards" -> elements { guards.add(entry().guard()) }
                "writes" -> elements { writes.add(entry().write()) }
            }
        }
        StateOp.Txn(guards, writes)
    }

    private fun StateCodec.Entry.guard(): Guard =
        Guard(key ?: throw MalformedMessageException("guard", "no key"), version)

    private fun StateCodec.Entry.write(): Write {
        removed?.let { return Write.Remove(it) }
        val target = key ?: throw MalformedMessageException("write", "no key")
        return Write.Put(
            target,
            value() ?: throw MalformedMessageException("write", "a value of an unknown kind under $target"),
            lease,
        )
    }

    fun readGrant(bytes: ByteArray): StateOp.Grant = parseJson(bytes) { p ->
        var ttlMs = -1L
        p.fields { name -> if (name == Fields.TTL_MS) ttlMs = whole(name) }
        if (ttlMs <= 0) throw MalformedMessageException(Fields.TTL_MS, "missing")
        StateOp.Grant(ttlMs)
    }

    fun write(result: StateResult): ByteArray = writeJson {
        obj {
            when (result) {
                is StateResult.Item -> result.item?.let { itemFields(it) }
                is StateResult.Items -> items(result)
                is StateResult.News -> news(result)
                is StateResult.Committed -> writeNumberField(Fields.REVISION, result.revision)
                is StateResult.Conflict -> arr("failed") { result.failed.forEach { writeString(it) } }
                is StateResult.Granted -> writeNumberField(Fields.LEASE, result.lease)
                else -> writeStringField("error", result.toString())
            }
        }
    }

    private fun JsonGenerator.itemFields(item: StateItem) {
        writeStringField("key", item.key)
        writeFieldName("data")
        RecordCodec.write(this, item.value)
        writeNumberField(Fields.VERSION, item.version)
    }

    private fun JsonGenerator.items(result: StateResult.Items) {
        arr("items") { result.items.forEach { obj { itemFields(it) } } }
        writeBooleanField(Fields.HAS_MORE, result.more)
        writeNumberField(Fields.REVISION, result.revision)
    }

    private fun JsonGenerator.news(result: StateResult.News) {
        writeNumberField(Fields.REVISION, result.revision)
        arr(Fields.EVENTS) { result.events.forEach { event(it) } }
    }

    private fun JsonGenerator.event(event: StateEvent) = obj {
        val value = event.value
        writeStringField(if (value == null) "remove" else "set", event.key)
        if (value != null) {
            writeFieldName("data")
            RecordCodec.write(this, value)
        }
        writeNumberField(Fields.VERSION, event.version)
    }
}
