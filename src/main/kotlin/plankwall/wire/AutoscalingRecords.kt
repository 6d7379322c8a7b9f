package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import plankwall.model.Catalog
import plankwall.model.GroupKey

/** A scale-out request, by its idempotency key [request], that the cloud has not answered yet. */
data class StoredScaleOut(val request: String, val group: GroupKey, val count: Int)

/** A machine that was scaled out and has not sent a heartbeat yet. [rentedMs]: wall-clock time of the request. */
data class StoredBootingMachine(val machine: String, val group: GroupKey, val rentedMs: Long)

/**
 * The autoscaler's state: [rentals] are scale-out requests without an answer, [arrivals] are booting machines,
 * [returning] are machines being scaled in. [more]: how many further keys hold the rest of it, written in the same
 * transaction; they count only while the first says so.
 */
data class FleetRecord(
    val rentals: List<StoredScaleOut>,
    val arrivals: List<StoredBootingMachine>,
    val returning: List<String>,
    val more: Int = 0,
) : Stored

/** The cloud's machine types as last read. [more] as in [FleetRecord]. */
data class CatalogRecord(val catalog: Catalog, val more: Int = 0) : Stored

/** The stored form of [FleetRecord] and [CatalogRecord]. */
internal object AutoscalingRecordCodec {
    fun write(generator: JsonGenerator, record: CatalogRecord) =
        CloudCodec.writeCatalog(generator, record.catalog, record.more)

    fun write(generator: JsonGenerator, record: FleetRecord) = generator.obj {
        arr("rentals") { record.rentals.forEach { scaleOut(it) } }
        arr("arrivals") {
            record.arrivals.groupBy { it.group to it.rentedMs }.forEach { (scaleOut, machines) ->
                val (group, rentedMs) = scaleOut
                bootingMachines(group, rentedMs, machines.map { it.machine })
            }
        }
        arr("returning") { nameRuns(record.returning.sorted()) }
        if (record.more > 0) writeNumberField("more", record.more)
    }

    private fun JsonGenerator.scaleOut(scaleOut: StoredScaleOut) {
        writeStartArray()
        writeString(scaleOut.request)
        group(scaleOut.group)
        writeNumber(scaleOut.count)
        writeEndArray()
    }

    private fun JsonGenerator.bootingMachines(group: GroupKey, rentedMs: Long, machines: List<String>) {
        writeStartArray()
        group(group)
        writeNumber(rentedMs)
        nameRuns(machines)
        writeEndArray()
    }

    private fun JsonGenerator.group(key: GroupKey) {
        writeString(key.type)
        writeString(key.zone)
        writeBoolean(key.spot)
    }

    private fun JsonGenerator.nameRuns(names: List<String>) = NameRuns.write(names) { first, following ->
        writeString(first)
        writeNumber(following)
    }

    fun readFleet(parser: JsonParser): FleetRecord {
        val rentals = ArrayList<StoredScaleOut>()
        val arrivals = ArrayList<StoredBootingMachine>()
        val returning = ArrayList<String>()
        var more = 0
        parser.fields { name ->
            when (name) {
                "rentals" -> elements { rentals.add(readScaleOut(name)) }
                "arrivals" -> elements { arrivals.addAll(readBootingMachines(name)) }
                "returning" -> elements { returning.addAll(readNameRun(name)) }
                "more" -> more = intValue
            }
        }
        return FleetRecord(rentals, arrivals, returning, more)
    }

    private fun JsonParser.readScaleOut(field: String): StoredScaleOut {
        nextToken()
        val request = text(field)
        val group = readNextGroup()
        nextToken()
        return StoredScaleOut(request, group, intValue).also { nextToken() }
    }

    private fun JsonParser.readBootingMachines(field: String): List<StoredBootingMachine> {
        val group = readNextGroup()
        nextToken()
        val rentedMs = longValue
        val machines = ArrayList<StoredBootingMachine>()
        while (nextToken() != JsonToken.END_ARRAY) {
            readNameRun(field).mapTo(machines) { StoredBootingMachine(it, group, rentedMs) }
        }
        return machines
    }

    private fun JsonParser.readNextGroup(): GroupKey {
        nextToken()
        val type = text("type")
        nextToken()
        val zone = text("zone")
        nextToken()
        return GroupKey(type, zone, flag("spot"))
    }

    private fun JsonParser.readNameRun(field: String): List<String> {
        val first = text(field)
        nextToken()
        return NameRuns.read(first, intValue)
    }
}
