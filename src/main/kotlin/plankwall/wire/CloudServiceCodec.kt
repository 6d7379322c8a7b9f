package plankwall.wire

import plankwall.model.Catalog
import plankwall.model.GroupKey

/** The cloud's side of its protocol, for stand-ins: reads what [CloudCodec] writes and writes what it reads. */
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
                "charter" -> request = text(name)
                "build" -> type = text(name)
                "yard" -> zone = text(name)
                "loaners" -> spot = flag(name)
                "how_many" -> count = whole(name)
            }
        }
        if (request.isEmpty() ||
            type.isEmpty() ||
            zone.isEmpty() ||
            count !in 1..MAX_RENTED
        ) {
            throw MalformedMessageException("rental: a field is missing or out of range")
        }
        CloudOp.Rent(request, GroupKey(type, zone, spot), count.toInt())
    }

    fun readDelete(bytes: ByteArray): CloudOp.Delete = parseJson(bytes) { p ->
        val machines = ArrayList<String>()
        p.fields { name -> if (name == "berths") elements { machines.add(text(name)) } }
        if (machines.size > MAX_DELETED) throw MalformedMessageException("deletion: ${machines.size} machines")
        CloudOp.Delete(machines)
    }

    fun catalog(catalog: Catalog): ByteArray = writeJson { CloudCodec.writeCatalog(this, catalog, 0) }

    fun rented(machines: List<String>): ByteArray = writeJson {
        obj { arr("berths") { machines.forEach { writeString(it) } } }
    }

    fun listed(result: CloudResult.Listed): ByteArray = writeJson {
        obj {
            arr("berths") {
                result.machines.forEach { m ->
                    obj {
                        writeStringField("id", m.id)
                        writeStringField("address", m.address)
                        writeStringField("build", m.group.type)
                        writeStringField("yard", m.group.zone)
                        writeBooleanField("loaners", m.group.spot)
                        writeStringField("stage", stateNames.getValue(m.state))
                        writeNumberField("held_s", m.ageS)
                    }
                }
            }
            writeBooleanField("has_next", result.more)
        }
    }

    private const val MAX_RENTED = 50L
    private const val MAX_DELETED = 100
}
