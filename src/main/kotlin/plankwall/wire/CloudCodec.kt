package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.MachineType
import plankwall.model.Resources

/** Codec of the requests to the cloud and of its answers. Functions that read throw [MalformedMessageException]. */
object CloudCodec {
    /** Reads the answer with the machine types that the cloud offers. */
    fun readCatalog(bytes: ByteArray): Catalog = parseJson(bytes) { parser ->
        val types = ArrayList<MachineType>()
        parser.forEachField { name ->
            if (name == Fields.MACHINE_TYPES) forEachElement { types.add(readMachineType()) }
        }
        types.forEach { type -> type.zones.forEach { requireFrameName(Fields.ZONES, it) } }
        Catalog(types)
    }

    /** Reads what [writeCatalog] writes, with the number of further keys. */
    internal fun readStoredCatalog(parser: JsonParser): CatalogRecord {
        val types = ArrayList<MachineType>()
        var furtherChunks = 0
        parser.forEachField { name ->
            when (name) {
                Fields.MACHINE_TYPES -> forEachElement { types.add(readMachineType()) }
                "more" -> furtherChunks = intValue
            }
        }
        return CatalogRecord(Catalog(types), furtherChunks)
    }

    private fun JsonParser.readMachineType(): MachineType {
        var typeName = ""
        var capacity = Resources.NONE
        var cacheGb = 0.0
        var fetchGbPerS = 0.0
        var price = 0.0
        var spotPrice = 0.0
        var bootS = 0.0
        val zones = ArrayList<String>()
        forEachField { name ->
            when (name) {
                "name" -> typeName = readString(name)
                Fields.CPUS -> capacity = capacity.copy(cpus = Amounts.toCapacity(readDecimal(name)))
                Fields.GPUS -> capacity = capacity.copy(gpus = Amounts.toCapacity(readDecimal(name)))
                Fields.MEMORY_GB -> capacity = capacity.copy(memory = Amounts.toCapacity(readDecimal(name)))
                "cache_gb" -> cacheGb = readAmount(name)
                Fields.FETCH_GB_PER_S -> fetchGbPerS = readAmount(name)
                Fields.PRICE -> price = readAmount(name)
                Fields.SPOT_PRICE -> spotPrice = readNullableAmount(name) ?: 0.0
                Fields.BOOT_S -> bootS = readAmount(name)
                Fields.ZONES -> forEachElement { zones.add(readString(name)) }
            }
        }
        if (typeName.isEmpty()) throw MalformedMessageException("catalogue", "machine type without a name")
        return MachineType(
            typeName,
            capacity,
            cacheGb,
            fetchGbPerS.coerceAtLeast(MIN_FETCH_GB_PER_S),
            price,
            spotPrice,
            bootS,
            zones,
        )
    }

    /**
     * Writes [catalog] as one JSON object. [furtherChunks]: the number of further keys of a stored one, see
     * [CatalogRecord].
     */
    internal fun writeCatalog(generator: JsonGenerator, catalog: Catalog, furtherChunks: Int) =
        generator.writeJsonObject {
            if (furtherChunks > 0) writeNumberField("more", furtherChunks)
            writeJsonArray(Fields.MACHINE_TYPES) { catalog.types.forEach { writeMachineType(it) } }
        }

    private fun JsonGenerator.writeMachineType(type: MachineType) = writeJsonObject {
        writeStringField("name", type.name)
        writeResources(type.capacity)
        writeNumberField("cache_gb", type.cacheGb)
        writeNumberField(Fields.FETCH_GB_PER_S, type.fetchGbPerS)
        writeNumberField(Fields.PRICE, type.price)
        writeNumberField(Fields.SPOT_PRICE, type.spotPrice)
        writeNumberField(Fields.BOOT_S, type.bootS)
        writeJsonArray(Fields.ZONES) { type.zones.forEach { writeString(it) } }
    }

    /** Writes the request to create machines. */
    fun writeRent(op: CloudOp.Rent): ByteArray = writeJson {
        writeJsonObject {
            writeStringField(Fields.REQUEST_ID, op.request)
            writeStringField(Fields.MACHINE_TYPE, op.group.type)
            writeStringField(Fields.ZONE, op.group.zone)
            writeBooleanField(Fields.SPOT, op.group.spot)
            writeNumberField(Fields.COUNT, op.count)
        }
    }

    /** Writes the request to delete machines. */
    fun writeDelete(op: CloudOp.Delete): ByteArray = writeJson {
        writeJsonObject { writeJsonArray(Fields.MACHINES) { op.machines.forEach { writeString(it) } } }
    }

    /** Reads the answer to a [CloudOp.Rent] that was granted, wholly or in part: the new machines. */
    fun readRented(bytes: ByteArray): CloudResult = parseJson(bytes) { parser ->
        val machines = ArrayList<String>()
        parser.forEachField { name -> if (name == Fields.MACHINES) forEachElement { machines.add(readString(name)) } }
        CloudResult.Rented(machines)
    }

    /** Reads one page of the list of machines. */
    fun readListed(bytes: ByteArray): CloudResult = parseJson(bytes) { parser ->
        val machines = ArrayList<ListedMachine>()
        var more = false
        parser.forEachField { name ->
            when (name) {
                Fields.MACHINES -> forEachElement { machines.add(readMachine()) }
                Fields.HAS_MORE -> more = readBoolean(name)
            }
        }
        CloudResult.Listed(machines, more)
    }

    private fun JsonParser.readMachine(): ListedMachine {
        var id = ""
        var address = ""
        var type = ""
        var zone = ""
        var spot = false
        var state = ListedState.BOOTING
        var ageS = 0.0
        forEachField { name ->
            when (name) {
                "id" -> id = readString(name)
                "address" -> address = readNullableString(name).orEmpty()
                Fields.MACHINE_TYPE -> type = readString(name)
                Fields.ZONE -> zone = readString(name)
                Fields.SPOT -> spot = readBoolean(name)
                "stage" -> state = when (readString(name)) {
                    "running" -> ListedState.RUNNING
                    "failed" -> ListedState.FAILED
                    else -> ListedState.BOOTING
                }
                Fields.AGE_S -> ageS = readAmount(name)
            }
        }
        val group = GroupKey(type, requireFrameName(Fields.ZONE, zone), spot)
        return ListedMachine(requireFrameName("id", id), address, group, state, ageS)
    }

    /** The lowest fetch rate that is taken over from a catalogue: a rate of 0 would make fetch times infinite. */
    private const val MIN_FETCH_GB_PER_S = 0.001
}
