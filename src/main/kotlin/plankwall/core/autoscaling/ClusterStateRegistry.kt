package plankwall.core.autoscaling

import plankwall.core.failuredetector.FailureDetector
import plankwall.core.state.BootingMachine
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.wire.ListedState

/** The state of one group as the paper's registry keeps it. */
class GroupHealth(val key: GroupKey) {
    var registered = 0
    var ready = 0

    /** Unready for no known reason (the paper's "unjustified"). */
    var unready = 0

    /** Unready, but being returned, about to be preempted by the cloud, or in a partitioned zone (UC7). */
    var unreadyJustified = 0

    /** Requested and not yet registered, not late (UC1, UC2, S3). */
    var arriving = 0

    /** Requested and late: listed but never registered, or never listed (UC3 to UC5). */
    var late = 0

    /** S2: a group with many unready or failed starts is not expanded. */
    val healthy: Boolean get() = unready + late <= tolerated

    /** Of S2 the part that says what becomes of new machines; those that fail later say nothing about it. */
    val startsFail: Boolean get() = late > tolerated

    private val tolerated: Int get() = maxOf(MIN_BROAD - 1, (registered + late) / TOLERATED_PART)

    internal companion object {
        /** Fewer unready machines are no sign of a broad failure, whatever their share. */
        const val MIN_BROAD = 3

        /** One in so many may be unready or late. */
        private const val TOLERATED_PART = 3
    }
}

/**
 * The paper's cluster state registry: is the cluster in good shape (S1), is each group (S2), what should arrive soon
 * (S3). It only reads; the [Autoscaler] acts. Changed: a partitioned zone justifies unreadiness.
 */
class ClusterStateRegistry(
    private val ctx: Context,
    private val fleet: Fleet,
    private val failureDetector: FailureDetector,
    private val registrationTimeoutS: (GroupKey) -> Double = { ctx.tuning.unregisteredS },
) {
    private var groups: Map<GroupKey, GroupHealth> = emptyMap()

    /** Zones that are silent nearly whole. */
    val partitionedZones: Set<String> get() = failureDetector.partitionedZones

    /** Machines that registered. */
    var registered = 0
        private set

    /** Registered machines that are unready for no known reason. */
    var unjustifiedUnready = 0
        private set

    /** Counts all machines and [arrivals] anew; to be called once in each iteration. */
    fun refresh(arrivals: Map<String, BootingMachine>) {
        failureDetector.refresh()
        val found = HashMap<GroupKey, GroupHealth>()
        registered = 0
        unjustifiedUnready = 0
        for (machine in fleet.machines) {
            val key = machine.group ?: continue
            if (machine.registered) countRegistered(machine, found.getOrPut(key) { GroupHealth(key) })
        }
        for (booting in arrivals.values) {
            val group = found.getOrPut(booting.group) { GroupHealth(booting.group) }
            if (isLate(booting)) group.late++ else group.arriving++
        }
        groups = found
    }

    private fun countRegistered(machine: Machine, group: GroupHealth) {
        group.registered++
        registered++
        when {
            fleet.isReady(machine) -> group.ready++
            isJustified(machine, group.key) -> group.unreadyJustified++
            else -> {
                group.unready++
                unjustifiedUnready++
            }
        }
    }

    private fun isJustified(machine: Machine, key: GroupKey): Boolean = machine.returning ||
        machine.noticeAt > Machine.NEVER ||
        machine.listed == ListedState.FAILED ||
        key.zone in partitionedZones

    /** Whether [booting] should have registered by now. */
    fun isLate(booting: BootingMachine): Boolean = ctx.now - booting.rentedAt > registrationTimeoutS(booting.group)

    /** The state of the group [key], empty if it has no machines. */
    fun group(key: GroupKey): GroupHealth = groups[key] ?: GroupHealth(key)

    /** S1: most machines are ready. */
    val inGoodShape: Boolean
        get() = unjustifiedUnready < GroupHealth.MIN_BROAD ||
            unjustifiedUnready <= registered * ctx.tuning.haltUnreadyShare
}
