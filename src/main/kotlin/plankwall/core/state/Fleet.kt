package plankwall.core.state

import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.MachineIndex
import plankwall.wire.HeartbeatStatus
import plankwall.wire.ListedMachine

/**
 * All machines that the leader knows, by name. Only this class creates and removes [Machine]s and sets what describes
 * them. Machines that boot or are being returned are stored by the autoscaler; each leader learns all else again.
 */
class Fleet(private val ctx: Context) {
    private val machinesById = LinkedHashMap<String, Machine>()
    private var nextIndex = 0

    /** Names of machines whose deletion was answered. The cloud's list lags, and names them for a while. */
    private val deletedNames = object : LinkedHashMap<String, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > MAX_DELETED_NAMES
    }

    /** The machine types, once known. */
    var catalog: Catalog? = null
        set(value) {
            field = value
            machinesById.values.forEach { machine -> machine.group?.let { machine.type = value?.get(it.type) } }
        }

    /** Machines scaled out and not registered yet, by name. */
    val arrivals = LinkedHashMap<String, BootingMachine>()

    /** All known machines, in the order in which they were first named. */
    val machines: Collection<Machine> get() = machinesById.values

    /** The machine [id], or null if it is not known. */
    fun find(id: String): Machine? = machinesById[id]

    /** Whether [id] was deleted: what still names it is outdated. */
    fun isGone(id: String): Boolean = id in deletedNames

    /** The machine [id], which is added if it is not known yet. */
    fun machine(id: String): Machine = machinesById.getOrPut(id) {
        Machine(MachineIndex(nextIndex++), id).also { it.firstSeen = ctx.now }
    }

    /** Sets the group of [machine], which never changes, and its [address] if there is one. */
    fun describe(machine: Machine, group: GroupKey, address: String) {
        if (machine.group == null) {
            machine.group = group
            machine.type = catalog?.get(group.type)
        }
        if (address.isNotEmpty()) machine.address = address
    }

    /** Describes [machine] by its own [heartbeat]. */
    fun describe(machine: Machine, heartbeat: HeartbeatStatus) =
        describe(machine, GroupKey(heartbeat.type, heartbeat.zone, heartbeat.spot), heartbeat.address)

    /** Describes [machine] as the cloud [listed] it. */
    fun describe(machine: Machine, listed: ListedMachine) {
        describe(machine, listed.group, listed.address)
        machine.listedAddress = listed.address
    }

    /** Removes [machine], whose deletion was answered. */
    fun remove(machine: Machine) {
        machinesById.remove(machine.id)
        deletedNames[machine.id] = Unit
    }

    /** Whether [machine] sent a status recently enough that its status and its lease can be relied on. */
    fun isReady(machine: Machine): Boolean = machine.registered &&
        ctx.now - machine.lastHeard < ctx.settings.workers.reportS * READY_HEARTBEATS + READY_MARGIN_S

    /**
     * The moment from which the worker of [machine] has surely stopped all tasks that older answers let it keep.
     * [olderLeadersSilentAt]: from when on no older leader can have answered it.
     */
    fun provablyEmptyAt(machine: Machine, olderLeadersSilentAt: Double): Double =
        maxOf(machine.lastAnswered, olderLeadersSilentAt) + ctx.surelyOverS

    private companion object {
        const val MAX_DELETED_NAMES = 5000

        /** So many heartbeat intervals a ready machine may be silent, and [READY_MARGIN_S] more. */
        const val READY_HEARTBEATS = 3
        const val READY_MARGIN_S = 1.0
    }
}
