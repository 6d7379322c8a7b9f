package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.MachineType
import plankwall.model.Resources

enum class ListedState { BOOTING, RUNNING, FAILED }

data class ListedMachine(
    val id: String,
    val address: String,
    val group: GroupKey,
    val state: ListedState,
    val ageS: Double,
)

sealed interface CloudOp {
    data object GetCatalog : CloudOp

    data class Rent(val request: String, val group: GroupKey, val count: Int) : CloudOp

    data class Delete(val machines: List<String>) : CloudOp

    data class ListMachines(val after: String?, val limit: Int) : CloudOp
}

sealed interface CloudResult {
    data class CatalogRead(val catalog: Catalog) : CloudResult

    data class Rented(val machines: List<String>) : CloudResult

    data object NoCapacity : CloudResult

    data object Deleted : CloudResult

    data class Listed(val machines: List<ListedMachine>, val more: Boolean) : CloudResult

    /** 400: this request will never be served as it stands. */
    data object Malformed : CloudResult

    /** Refused or unanswered: may have been executed, is to be repeated. */
    data object Trouble : CloudResult
}

object CloudCodec {
    fun catalog(bytes: ByteArray): Catalog = parseJson(bytes) { readCatalog(it) }

    internal fun readCatalog(p: JsonParser): Catalog {
        val types = ArrayList<MachineType>()
        p.fields { name -> if (name == "builds") elements { types.add(type()) } }
        return Catalog(types)
    }

    internal fun readStoredCatalog(p: JsonParser): CatalogRecord {
        val types = ArrayList<MachineType>()
        var more = 0
        p.fields { name ->
            when (name) {
                "builds" -> elements { types.add(type()) }
                "more" -> more = intValue
            }
        }
        return CatalogRecord(Catalog(types), more)
    }

    private fun JsonParser.type(): MachineType {
        var typeName = ""
        var capacity = Resources.NONE
        var cache = 0.0
        var fetch = 0.0
        var price = 0.0
        var spotPrice = 0.0
        var boot = 0.0
        val zones = ArrayList<String>()
        fields { name ->
            when (name) {
                "name" -> typeName = text(name)
                "cores" -> capacity = capacity.copy(cpus = Resources.capacity(decimal(name)))
                "accelerators" -> capacity = capacity.copy(gpus = Resources.capacity(decimal(name)))
                "ram_gb" -> capacity = capacity.copy(memory = Resources.capacity(decimal(name)))
                "cache_gb" -> cache = double(name)
                "pull_gb_per_s" -> fetch = double(name)
                "rate" -> price = double(name)
                "low_price" -> spotPrice = doubleOrNull(name) ?: 0.0
                "ready_s" -> boot = double(name)
                "yards" -> elements { zones.add(text(name)) }
            }
        }
        if (typeName.isEmpty()) throw MalformedMessageException("catalogue: a type without a name")
        return MachineType(typeName, capacity, cache, fetch.coerceAtLeast(0.001), price, spotPrice, boot, zones)
    }

    internal fun writeCatalog(g: JsonGenerator, catalog: Catalog, more: Int) = g.obj {
        if (more > 0) writeNumberField("more", more)
        arr("builds") {
            catalog.types.forEach { t ->
                obj {
                    writeStringField("name", t.name)
                    writeNumberField("cores", t.capacity.cpus / 1000.0)
                    writeNumberField("accelerators", t.capacity.gpus / 1000.0)
                    writeNumberField("ram_gb", t.capacity.memory / 1000.0)
                    writeNumberField("cache_gb", t.cacheGb)
                    writeNumberField("pull_gb_per_s", t.fetchGbPerS)
                    writeNumberField("rate", t.price)
                    writeNumberField("low_price", t.spotPrice)
                    writeNumberField("ready_s", t.bootS)
                    arr("yards") { t.zones.forEach { writeString(it) } }
                }
            }
        }
    }

    fun rent(op: CloudOp.Rent): ByteArray = writeJson {
        obj {
            writeStringField("charter", op.request)
            writeStringField("build", op.group.type)
            writeStringField("yard", op.group.zone)
            writeBooleanField("loaners", op.group.spot)
            writeNumberField("how_many", op.count)
        }
    }

    fun delete(op: CloudOp.Delete): ByteArray = writeJson {
        obj { arr("berths") { op.machines.forEach { writeString(it) } } }
    }

    fun rented(bytes: ByteArray): CloudResult = parseJson(bytes) { p ->
        val machines = ArrayList<String>()
        p.fields { name -> if (name == "berths") elements { machines.add(text(name)) } }
        CloudResult.Rented(machines)
    }

    fun listed(bytes: ByteArray): CloudResult = parseJson(bytes) { p ->
        val machines = ArrayList<ListedMachine>()
        var more = false
        p.fields { name ->
            when (name) {
                "berths" -> elements { machines.add(machine()) }
                "has_next" -> more = flag(name)
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
        var age = 0.0
        fields { name ->
            when (name) {
                "id" -> id = text(name)
                "address" -> address = textOrNull(name).orEmpty()
                "build" -> type = text(name)
                "yard" -> zone = text(name)
                "loaners" -> spot = flag(name)
                "stage" -> state = when (text(name)) {
                    "running" -> ListedState.RUNNING
                    "failed" -> ListedState.FAILED
                    else -> ListedState.BOOTING
                }
                "held_s" -> age = double(name)
            }
        }
        if (id.isEmpty()) throw MalformedMessageException("list: a machine without a name")
        return ListedMachine(id, address, GroupKey(type, zone, spot), state, age)
    }
}
