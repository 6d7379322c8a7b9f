package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import plankwall.model.Catalog
import plankwall.model.GroupKey

/** The cloud's side of its protocol, for simulations: reads what [CloudCodec] writes and writes what it reads. */
object CloudServiceCodec {
    private val stateNames = mapOf(
        ListedState.BOOTING to "starting",
        ListedState.RUNNING to "running",
        ListedState.FAILED to "failed",
    )

    fun readRent(bytes: ByteArray): CloudOp.Rent = parseJson(bytes) { p ->
        var request = ""
        var type = ""
        var zone = ""
        var spot = false
        var count = 0L
        p.fields { name ->
            when (name) {
                Fields.REQUEST_ID -> request = text(name)
                Fields.MACHINE_TYPE -> type = text(name)
                Fields.ZONE -> zone = text(name)
                Fields.SPOT -> spot = flag(name)
                Fields.COUNT -> count = whole(name)
            }
        }
        val names = listOf(request, type, zone)
        if (names.any { it.isEmpty() } || count !in 1..MAX_RENTED) {
            throw MalformedMessageException("rental", "a field is missing or out of range")
        }
        CloudOp.Rent(request, GroupKey(type, zone, spot), count.toInt())
    }

    fun readDelete(bytes: ByteArray): CloudOp.Delete = parseJson(bytes) { p ->
        val machines = ArrayList<String>()
        p.fields { name -> if (name == Fields.MACHINES) elements { machines.add(text(name)) } }
        if (machines.size > MAX_DELETED) throw MalformedMessageException("deletion", "${machines.size} machines")
        CloudOp.Delete(machines)
    }

    fun catalog(catalog: Catalog): ByteArray = writeJson { CloudCodec.writeCatalog(this, catalog, 0) }

    fun rented(machines: List<String>): ByteArray = writeJson {
        obj { arr(Fields.MACHINES) { machines.forEach { writeString(it) } } }
    }

    fun listed(result: CloudResult.Listed): ByteArray = writeJson {
        obj {
            arr(Fields.MACHINES) { result.machines.forEach { machine(it) } }
            writeBooleanField(Fields.HAS_MORE, result.more)
        }
    }

    private fun JsonGenerator.machine(machine: ListedMachine) = obj {
        writeStringField("id", machine.id)
        writeStringField("address", machine.address)
        writeStringField(Fields.MACHINE_TYPE, machine.group.type)
        writeStringField(Fields.ZONE, machine.group.zone)
        writeBooleanField(Fields.SPOT, machine.group.spot)
        writeStringField("stage", stateNames.getValue(machine.state))
        writeNumberField(Fields.AGE_S, machine.ageS)
    }

    private const val MAX_RENTED = 50L
    private const val MAX_DELETED = 100
}
