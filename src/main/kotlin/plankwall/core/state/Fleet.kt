package plankwall.core.state

import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.MachineIndex
import plankwall.wire.HeartbeatStatus
import plankwall.wire.ListedMachine

/** A machine that was rented and has not registered yet. */
class BootingMachine(val machine: String, val group: GroupKey, val rentedAt: Double, val rentedMs: Long)

/** All machines that the leader knows, by name and by index. */
class Fleet(private val ctx: Context) {
    private val byId = LinkedHashMap<String, Machine>()
    private var nextIx = 0

    /** Names whose deletion was answered. The late list goes on naming them for a while. */
    private val gone = object : LinkedHashMap<String, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > 5000
    }

    var catalog: Catalog? = null
        set(value) {
            field = value
            byId.values.forEach { m -> m.group?.let { m.type = value?.get(it.type) } }
        }

    /** Machines rented and not registered yet. */
    val arrivals = LinkedHashMap<String, BootingMachine>()

    val machines: Collection<Machine> get() = byId.values

    fun find(id: String): Machine? = byId[id]

    fun isGone(id: String): Boolean = id in gone

    fun machine(id: String): Machine = byId.getOrPut(id) {
        Machine(MachineIndex(nextIx++), id).also { it.firstSeen = ctx.now }
    }

    fun describe(m: Machine, group: GroupKey, address: String) {
        if (m.group == null) {
            m.group = group
            m.type = catalog?.get(group.type)
        }
        if (address.isNotEmpty()) m.address = address
    }

    fun describe(m: Machine, r: HeartbeatStatus) = describe(m, GroupKey(r.type, r.zone, r.spot), r.address)

    fun describe(m: Machine, l: ListedMachine) {
        describe(m, l.group, l.address)
        m.listedAddress = l.address
    }

    fun remove(m: Machine) {
        byId.remove(m.id)
        gone[m.id] = Unit
    }

    /** Heard recently enough that its word and its lease can be relied on. */
    fun isReady(m: Machine): Boolean = m.registered && ctx.now - m.lastHeard < ctx.settings.workers.reportS * 3 + 1.0

    /** The moment from which this machine's worker has surely killed all that older answers let it keep. */
    fun provablyEmptyAt(m: Machine, olderLeadersSilentAt: Double): Double =
        maxOf(m.lastAnswered, olderLeadersSilentAt) + ctx.surelyOverS
}
