package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import plankwall.model.Catalog
import plankwall.model.GroupKey

/**
 * Codec of the cloud's side of its protocol, for the simulated cloud: reads the requests that [CloudCodec] writes and
 * writes the answers that it reads.
 */
object CloudServiceCodec {
    private val stateNames = mapOf(
        ListedState.BOOTING to "starting",
        ListedState.RUNNING to "running",
        ListedState.FAILED to "failed",
    )

    /** Reads the request to create machines; throws [MalformedMessageException]. */
    fun readRent(bytes: ByteArray): CloudOp.Rent = parseJson(bytes) { parser ->
        var request = ""
        var type = ""
        var zone = ""
        var spot = false
        var count = 0L
        parser.forEachField { name ->
            when (name) {
                Fields.REQUEST_ID -> request = readString(name)
                Fields.MACHINE_TYPE -> type = readString(name)
                Fields.ZONE -> zone = readString(name)
                Fields.SPOT -> spot = readBoolean(name)
                Fields.COUNT -> count = readWholeNumber(name)
            }
        }
        val names = listOf(request, type, zone)
        if (names.any { it.isEmpty() } || count !in 1..MAX_PER_RENT) {
            throw MalformedMessageException("rental", "a field is missing or out of range")
        }
        CloudOp.Rent(request, GroupKey(type, zone, spot), count.toInt())
    }

    /** Reads the request to delete machines; throws [MalformedMessageException]. */
    fun readDelete(bytes: ByteArray): CloudOp.Delete = parseJson(bytes) { parser ->
        val machines = ArrayList<String>()
        parser.forEachField { name -> if (name == Fields.MACHINES) forEachElement { machines.add(readString(name)) } }
        if (machines.size > MAX_PER_DELETE) throw MalformedMessageException("deletion", "${machines.size} machines")
        CloudOp.Delete(machines)
    }

    /** Writes the answer with the machine types on offer. */
    fun writeCatalog(catalog: Catalog): ByteArray = writeJson { CloudCodec.writeCatalog(this, catalog, 0) }

    /** Writes the answer that names the machines that were created. */
    fun writeRented(machines: List<String>): ByteArray = writeJson {
        writeJsonObject { writeJsonArray(Fields.MACHINES) { machines.forEach { writeString(it) } } }
    }

    /** Writes one page of the list of machines. */
    fun writeListed(result: CloudResult.Listed): ByteArray = writeJson {
        writeJsonObject {
            writeJsonArray(Fields.MACHINES) { result.machines.forEach { writeMachine(it) } }
            writeBooleanField(Fields.HAS_MORE, result.more)
        }
    }

    private fun JsonGenerator.writeMachine(machine: ListedMachine) = writeJsonObject {
        writeStringField("id", machine.id)
        writeStringField("address", machine.address)
        writeStringField(Fields.MACHINE_TYPE, machine.group.type)
        writeStringField(Fields.ZONE, machine.group.zone)
        writeBooleanField(Fields.SPOT, machine.group.spot)
        writeStringField("stage", stateNames.getValue(machine.state))
        writeNumberField(Fields.AGE_S, machine.ageS)
    }

    private const val MAX_PER_RENT = 50L
    private const val MAX_PER_DELETE = 100
}
