package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import plankwall.wire.StateCodec.readEntry

/**
 * Codec of the state service's side of its protocol, for the simulated state service: reads the requests that
 * [StateCodec] writes and writes the answers that it reads.
 */
object StateServiceCodec {
    /** Reads the body of a transaction request; throws [MalformedMessageException]. */
    fun readTxn(bytes: ByteArray): StateOp.Txn = parseJson(bytes) { parser ->
        val guards = ArrayList<Guard>()
        val writes = ArrayList<Write>()
        parser.forEachField { name ->
            when (name) {
                "guards" -> forEachElement { guards.add(readEntry().toGuard()) }
                "writes" -> forEachElement { writes.add(readEntry().toWrite()) }
            }
        }
        StateOp.Txn(guards, writes)
    }

    private fun StateCodec.Entry.toGuard(): Guard =
        Guard(key ?: throw MalformedMessageException("guard", "no key"), version)

    private fun StateCodec.Entry.toWrite(): Write {
        removed?.let { return Write.Remove(it) }
        val target = key ?: throw MalformedMessageException("write", "no key")
        return Write.Put(
            target,
            readValue() ?: throw MalformedMessageException("write", "no value of a known kind under $target"),
            lease,
        )
    }

    /** Reads the body of a request for a new lease; throws [MalformedMessageException]. */
    fun readGrant(bytes: ByteArray): StateOp.Grant = parseJson(bytes) { parser ->
        var ttlMs = -1L
        parser.forEachField { name -> if (name == Fields.TTL_MS) ttlMs = readWholeNumber(name) }
        if (ttlMs <= 0) throw MalformedMessageException(Fields.TTL_MS, "missing")
        StateOp.Grant(ttlMs)
    }

    /** Writes the body of the answer with this [result]; a result without fields is written as an error. */
    fun write(result: StateResult): ByteArray = writeJson {
        writeJsonObject {
            when (result) {
                is StateResult.Item -> result.item?.let { writeItemFields(it) }
                is StateResult.Items -> writeItems(result)
                is StateResult.News -> writeNews(result)
                is StateResult.Committed -> writeNumberField(Fields.REVISION, result.revision)
                is StateResult.Conflict -> writeJsonArray("failed") { result.failed.forEach { writeString(it) } }
                is StateResult.Granted -> writeNumberField(Fields.LEASE, result.lease)
                else -> writeStringField("error", result.toString())
            }
        }
    }

    private fun JsonGenerator.writeItemFields(item: StateItem) {
        writeStringField("key", item.key)
        writeFieldName("data")
        RecordCodec.write(this, item.value)
        writeNumberField(Fields.VERSION, item.version)
    }

    private fun JsonGenerator.writeItems(result: StateResult.Items) {
        writeJsonArray("items") { result.items.forEach { writeJsonObject { writeItemFields(it) } } }
        writeBooleanField(Fields.HAS_MORE, result.more)
        writeNumberField(Fields.REVISION, result.revision)
    }

    private fun JsonGenerator.writeNews(result: StateResult.News) {
        writeNumberField(Fields.REVISION, result.revision)
        writeJsonArray(Fields.EVENTS) { result.events.forEach { writeEvent(it) } }
    }

    private fun JsonGenerator.writeEvent(event: StateEvent) = writeJsonObject {
        val value = event.value
        writeStringField(if (value == null) "remove" else "set", event.key)
        if (value != null) {
            writeFieldName("data")
            RecordCodec.write(this, value)
        }
        writeNumberField(Fields.VERSION, event.version)
    }
}
