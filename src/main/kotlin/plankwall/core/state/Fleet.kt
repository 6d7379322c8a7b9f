package plankwall.core.state

import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.MachineIndex
import plankwall.wire.HeartbeatStatus
import plankwall.wire.ListedMachine

/**
 * All machines that the leader knows, by name. Only this class creates and removes [Machine]s and sets what describes
 * them. The autoscaler stores which machines are booting and which are to be scaled in; each leader learns everything
 * else anew.
 */
class Fleet(private val ctx: Context) {
    private val machinesById = LinkedHashMap<String, Machine>()
    private var nextIndex = 0

    /**
     * The names of machines whose deletion the cloud has confirmed. The cloud's list lags behind and still contains
     * them for a while.
     */
    private val deletedNames = object : LinkedHashMap<String, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > MAX_DELETED_NAMES
    }

    /** The machine types that the cloud offers; null until they are known. */
    var catalog: Catalog? = null
        set(value) {
            field = value
            machinesById.values.forEach { machine -> machine.group?.let { machine.type = value?.get(it.type) } }
        }

    /** The machines that were requested from the cloud and have not registered yet, by name. */
    val bootingMachines = LinkedHashMap<String, BootingMachine>()

    /** All known machines, in the order in which this leader learned of them. */
    val machines: Collection<Machine> get() = machinesById.values

    /** Returns the machine [id], or null if it is not known. */
    fun find(id: String): Machine? = machinesById[id]

    /** Returns whether [id] was deleted, so that whatever still names it is out of date. */
    fun isGone(id: String): Boolean = id in deletedNames

    /** Returns the machine [id], and adds it if it is not known yet. */
    fun machine(id: String): Machine = machinesById.getOrPut(id) {
        Machine(MachineIndex(nextIndex++), id).also { it.firstSeen = ctx.now }
    }

    /**
     * Sets the group of [machine] unless it is known, since it never changes, and its [address] unless that is empty.
     */
    fun describe(machine: Machine, group: GroupKey, address: String) {
        if (machine.group == null) {
            machine.group = group
            machine.type = catalog?.get(group.type)
        }
        if (address.isNotEmpty()) machine.address = address
    }

    /** Sets the group and the address of [machine] as its own [heartbeat] states them. */
    fun describe(machine: Machine, heartbeat: HeartbeatStatus) =
        describe(machine, GroupKey(heartbeat.type, heartbeat.zone, heartbeat.spot), heartbeat.address)

    /** Sets the group and the addresses of [machine] as the cloud's list states them. */
    fun describe(machine: Machine, listed: ListedMachine) {
        describe(machine, listed.group, listed.address)
        machine.listedAddress = listed.address
    }

    /** Removes [machine], whose deletion the cloud has confirmed. */
    fun remove(machine: Machine) {
        machinesById.remove(machine.id)
        deletedNames[machine.id] = Unit
    }

    /**
     * Returns whether a heartbeat of [machine] arrived recently enough for what it showed and for the worker's lease to
     * be relied on.
     */
    fun isReady(machine: Machine): Boolean = machine.isRegistered &&
        ctx.now - machine.lastHeartbeatAt < ctx.settings.workers.heartbeatIntervalS * READY_HEARTBEATS + READY_MARGIN_S

    /**
     * Returns the time from which on the worker of [machine] has certainly stopped all tasks that earlier answers let
     * it keep, in seconds of the monotonic clock. From [olderLeadersStoppedAt] on, no older leader can have answered
     * it.
     */
    fun provablyEmptyAt(machine: Machine, olderLeadersStoppedAt: Double): Double =
        maxOf(machine.lastAnsweredAt, olderLeadersStoppedAt) + ctx.leaseExpiryBoundS

    private companion object {
        const val MAX_DELETED_NAMES = 5000

        /** The number of heartbeat intervals, with [READY_MARGIN_S] added, for which a ready machine may be silent. */
        const val READY_HEARTBEATS = 3
        const val READY_MARGIN_S = 1.0
    }
}
