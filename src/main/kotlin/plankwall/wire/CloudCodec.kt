package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.MachineType
import plankwall.model.Resources

/** Requests to the cloud, and its answers. Those that read throw [MalformedMessageException]. */
object CloudCodec {
    fun catalog(bytes: ByteArray): Catalog = parseJson(bytes) { readCatalog(it) }

    private fun readCatalog(p: JsonParser): Catalog {
        val types = ArrayList<MachineType>()
        p.fields { name -> if (name == Fields.MACHINE_TYPES) elements { types.add(type()) } }
        return Catalog(types)
    }

    internal fun readStoredCatalog(p: JsonParser): CatalogRecord {
        val types = ArrayList<MachineType>()
        var more = 0
        p.fields { name ->
            when (name) {
                Fields.MACHINE_TYPES -> elements { types.add(type()) }
                "more" -> more = intValue
            }
        }
        return CatalogRecord(Catalog(types), more)
    }

    private fun JsonParser.type(): MachineType {
        var typeName = ""
        var capacity = Resources.NONE
        var cacheGb = 0.0
        var fetchGbPerS = 0.0
        var price = 0.0
        var spotPrice = 0.0
        var bootS = 0.0
        val zones = ArrayList<String>()
        fields { name ->
            when (name) {
                "name" -> typeName = text(name)
                Fields.CPUS -> capacity = capacity.copy(cpus = Resources.capacity(decimal(name)))
                Fields.GPUS -> capacity = capacity.copy(gpus = Resources.capacity(decimal(name)))
                Fields.MEMORY_GB -> capacity = capacity.copy(memory = Resources.capacity(decimal(name)))
                "cache_gb" -> cacheGb = double(name)
                Fields.FETCH_GB_PER_S -> fetchGbPerS = double(name)
                Fields.PRICE -> price = double(name)
                Fields.SPOT_PRICE -> spotPrice = doubleOrNull(name) ?: 0.0
                Fields.BOOT_S -> bootS = double(name)
                Fields.ZONES -> elements { zones.add(text(name)) }
            }
        }
        if (typeName.isEmpty()) throw MalformedMessageException("catalogue", "a type without a name")
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

    /** [more]: how many further keys hold the rest of a stored catalogue, see [CatalogRecord]. */
    internal fun writeCatalog(generator: JsonGenerator, catalog: Catalog, more: Int) = generator.obj {
        if (more > 0) writeNumberField("more", more)
        arr(Fields.MACHINE_TYPES) { catalog.types.forEach { type(it) } }
    }

    private fun JsonGenerator.type(type: MachineType) = obj {
        writeStringField("name", type.name)
        writeNumberField(Fields.CPUS, type.capacity.cpus / 1000.0)
        writeNumberField(Fields.GPUS, type.capacity.gpus / 1000.0)
        writeNumberField(Fields.MEMORY_GB, type.capacity.memory / 1000.0)
        writeNumberField("cache_gb", type.cacheGb)
        writeNumberField(Fields.FETCH_GB_PER_S, type.fetchGbPerS)
        writeNumberField(Fields.PRICE, type.price)
        writeNumberField(Fields.SPOT_PRICE, type.spotPrice)
        writeNumberField(Fields.BOOT_S, type.bootS)
        arr(Fields.ZONES) { type.zones.forEach { writeString(it) } }
    }

    fun rent(op: CloudOp.Rent): ByteArray = writeJson {
        obj {
            writeStringField(Fields.REQUEST_ID, op.request)
            writeStringField(Fields.MACHINE_TYPE, op.group.type)
            writeStringField(Fields.ZONE, op.group.zone)
            writeBooleanField(Fields.SPOT, op.group.spot)
            writeNumberField(Fields.COUNT, op.count)
        }
    }

    fun delete(op: CloudOp.Delete): ByteArray = writeJson {
        obj { arr(Fields.MACHINES) { op.machines.forEach { writeString(it) } } }
    }

    fun rented(bytes: ByteArray): CloudResult = parseJson(bytes) { p ->
        val machines = ArrayList<String>()
        p.fields { name -> if (name == Fields.MACHINES) elements { machines.add(text(name)) } }
        CloudResult.Rented(machines)
    }

    fun listed(bytes: ByteArray): CloudResult = parseJson(bytes) { p ->
        val machines = ArrayList<ListedMachine>()
        var more = false
        p.fields { name ->
            when (name) {
                Fields.MACHINES -> elements { machines.add(machine()) }
                Fields.HAS_MORE -> more = flag(name)
            }
        }
        CloudResult.Listed(machines, more)
    }

    private fun JsonParser.machine(): ListedMachine {
        var id = ""
        var address = ""
        var type = ""
        var zone = ""
        var spot = false
        var state = ListedState.BOOTING
        var ageS = 0.0
        fields { name ->
            when (name) {
                "id" -> id = text(name)
                "address" -> address = textOrNull(name).orEmpty()
                Fields.MACHINE_TYPE -> type = text(name)
                Fields.ZONE -> zone = text(name)
                Fields.SPOT -> spot = flag(name)
                "stage" -> state = when (text(name)) {
                    "running" -> ListedState.RUNNING
                    "failed" -> ListedState.FAILED
                    else -> ListedState.BOOTING
                }
                Fields.AGE_S -> ageS = double(name)
            }
        }
        if (id.isEmpty()) throw MalformedMessageException("list", "a machine without a name")
        return ListedMachine(id, address, GroupKey(type, zone, spot), state, ageS)
    }

    /** Keeps fetch times finite. */
    private const val MIN_FETCH_GB_PER_S = 0.001
}
