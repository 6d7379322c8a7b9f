package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import plankwall.model.Catalog
import plankwall.model.GroupKey

/** A scale-out request that the cloud has not answered yet. [request]: its idempotency key. */
data class StoredScaleOut(val request: String, val group: GroupKey, val count: Int)

/**
 * A machine that the cloud granted and that has not sent a heartbeat yet. [requestedMs]: the wall-clock time of the
 * scale-out request.
 */
data class StoredBootingMachine(val machine: String, val group: GroupKey, val requestedMs: Long)

/**
 * The stored state of the autoscaler. If it does not fit one value, the record under the first key states in
 * [furtherChunks] how many further keys hold the remaining entries. All are written in one transaction. Further keys
 * that [furtherChunks] does not count are left over from an earlier write and are ignored.
 *
 * @property scaleOutRequests the scale-out requests that the cloud has not answered yet
 * @property bootingMachines the machines that were granted and have not sent a heartbeat yet
 * @property machinesBeingScaledIn the names of the machines that are being scaled in
 */
data class FleetRecord(
    val scaleOutRequests: List<StoredScaleOut>,
    val bootingMachines: List<StoredBootingMachine>,
    val machinesBeingScaledIn: List<String>,
    val furtherChunks: Int = 0,
) : Stored

/** The cloud's machine types as last read. [furtherChunks]: the number of further keys, as in [FleetRecord]. */
data class CatalogRecord(val catalog: Catalog, val furtherChunks: Int = 0) : Stored

/** Codec of the stored form of [FleetRecord] and [CatalogRecord]. */
internal object AutoscalingRecordCodec {
    /** Writes [record] as one JSON object. */
    fun write(generator: JsonGenerator, record: CatalogRecord) =
        CloudCodec.writeCatalog(generator, record.catalog, record.furtherChunks)

    /** Writes [record] as one JSON object, with booting machines grouped by machine group and time of request. */
    fun write(generator: JsonGenerator, record: FleetRecord) = generator.writeJsonObject {
        writeJsonArray("rentals") { record.scaleOutRequests.forEach { writeScaleOut(it) } }
        writeJsonArray("arrivals") {
            record.bootingMachines.groupBy { it.group to it.requestedMs }.forEach { (groupAndTime, machines) ->
                val (group, requestedMs) = groupAndTime
                writeBootingMachines(group, requestedMs, machines.map { it.machine })
            }
        }
        writeJsonArray("returning") { writeNameRuns(record.machinesBeingScaledIn.sorted()) }
        if (record.furtherChunks > 0) writeNumberField("more", record.furtherChunks)
    }

    private fun JsonGenerator.writeScaleOut(scaleOut: StoredScaleOut) {
        writeStartArray()
        writeString(scaleOut.request)
        writeGroup(scaleOut.group)
        writeNumber(scaleOut.count)
        writeEndArray()
    }

    private fun JsonGenerator.writeBootingMachines(group: GroupKey, requestedMs: Long, machines: List<String>) {
        writeStartArray()
        writeGroup(group)
        writeNumber(requestedMs)
        writeNameRuns(machines)
        writeEndArray()
    }

    private fun JsonGenerator.writeGroup(key: GroupKey) {
        writeString(key.type)
        writeString(key.zone)
        writeBoolean(key.spot)
    }

    private fun JsonGenerator.writeNameRuns(names: List<String>) = NameRuns.write(names) { first, following ->
        writeString(first)
        writeNumber(following)
    }

    /** Reads what [write] writes for a [FleetRecord]. */
    fun readFleet(parser: JsonParser): FleetRecord {
        val scaleOutRequests = ArrayList<StoredScaleOut>()
        val bootingMachines = ArrayList<StoredBootingMachine>()
        val machinesBeingScaledIn = ArrayList<String>()
        var furtherChunks = 0
        parser.forEachField { name ->
            when (name) {
                "rentals" -> forEachElement { scaleOutRequests.add(readScaleOut(name)) }
                "arrivals" -> forEachElement { bootingMachines.addAll(readBootingMachines(name)) }
                "returning" -> forEachElement { machinesBeingScaledIn.addAll(readNameRun(name)) }
                "more" -> furtherChunks = intValue
            }
        }
        return FleetRecord(scaleOutRequests, bootingMachines, machinesBeingScaledIn, furtherChunks)
    }

    private fun JsonParser.readScaleOut(field: String): StoredScaleOut {
        nextToken()
        val request = readString(field)
        val group = readNextGroup()
        nextToken()
        return StoredScaleOut(request, group, intValue).also { nextToken() }
    }

    private fun JsonParser.readBootingMachines(field: String): List<StoredBootingMachine> {
        val group = readNextGroup()
        nextToken()
        val requestedMs = longValue
        val machines = ArrayList<StoredBootingMachine>()
        while (nextToken() != JsonToken.END_ARRAY) {
            readNameRun(field).mapTo(machines) { StoredBootingMachine(it, group, requestedMs) }
        }
        return machines
    }

    private fun JsonParser.readNextGroup(): GroupKey {
        nextToken()
        val type = readString("type")
        nextToken()
        val zone = readString("zone")
        nextToken()
        return GroupKey(type, zone, readBoolean("spot"))
    }

    private fun JsonParser.readNameRun(field: String): List<String> {
        val first = readString(field)
        nextToken()
        return NameRuns.read(first, intValue)
    }
}
