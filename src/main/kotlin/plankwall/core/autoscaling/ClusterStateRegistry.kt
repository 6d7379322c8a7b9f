package plankwall.core.autoscaling

import plankwall.core.failuredetector.FailureDetector
import plankwall.core.state.BootingMachine
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.wire.ListedState

/** The number of machines of one group in each state that the paper's registry distinguishes. */
class GroupHealth(val key: GroupKey) {
    /** Machines that have sent a heartbeat to this leader, ready or not. */
    var registered = 0

    /** Registered machines that sent a heartbeat recently. */
    var ready = 0

    /** Registered machines that are unready for no known reason (the paper's "unjustified"). */
    var unready = 0

    /**
     * Registered machines that are unready for a known reason: they are being scaled in, have a termination notice, are
     * listed as failed, or are in a partitioned zone (UC7).
     */
    var unreadyJustified = 0

    /** Machines that were requested, have not registered yet, and are not late (UC1, UC2, S3). */
    var arriving = 0

    /** Machines that were requested and are late: listed but never registered, or never listed (UC3 to UC5). */
    var late = 0

    /** S2: whether the group may be expanded, because few of its machines are unready or late. */
    val healthy: Boolean get() = unready + late <= tolerated

    /**
     * Whether many new machines fail to start. This is the part of S2 that concerns starts: machines that fail later do
     * not show whether new ones will start.
     */
    val startsAreFailing: Boolean get() = late > tolerated

    /** The number of unready and late machines up to which the group counts as healthy. */
    private val tolerated: Int get() = maxOf(MIN_BROAD_FAILURE - 1, (registered + late) / TOLERATED_DIVISOR)

    internal companion object {
        /** The number of unready machines below which there is no broad failure, however large their share is. */
        const val MIN_BROAD_FAILURE = 3

        /** The inverse of the share of a group's machines that may be unready or late. */
        private const val TOLERATED_DIVISOR = 3
    }
}

/**
 * The paper's cluster state registry, which answers three questions: whether the cluster is in good shape (S1), whether
 * each group is (S2), and which machines should arrive soon (S3). It only reads; the [Autoscaler] acts. Differs from
 * the paper: a partitioned zone justifies unreadiness.
 *
 * @param registrationTimeoutS returns the time, in seconds since its request, after which an unregistered machine of a
 * group is late
 */
class ClusterStateRegistry(
    private val ctx: Context,
    private val fleet: Fleet,
    private val failureDetector: FailureDetector,
    private val registrationTimeoutS: (GroupKey) -> Double = { ctx.tuning.unregisteredS },
) {
    private var groups: Map<GroupKey, GroupHealth> = emptyMap()

    /** The zones in which nearly all machines are silent. */
    val partitionedZones: Set<String> get() = failureDetector.partitionedZones

    /** The number of registered machines in all groups. */
    var registered = 0
        private set

    /** The number of registered machines in all groups that are unready for no known reason. */
    var unjustifiedUnready = 0
        private set

    /** Recounts all machines, and the booting ones in [bootingMachines]. To be called once in each iteration. */
    fun refresh(bootingMachines: Map<String, BootingMachine>) {
        failureDetector.refresh()
        val groupsByKey = HashMap<GroupKey, GroupHealth>()
        registered = 0
        unjustifiedUnready = 0
        for (machine in fleet.machines) {
            val key = machine.group ?: continue
            if (machine.isRegistered) countRegistered(machine, groupsByKey.getOrPut(key) { GroupHealth(key) })
        }
        for (booting in bootingMachines.values) {
            val group = groupsByKey.getOrPut(booting.group) { GroupHealth(booting.group) }
            if (isLate(booting)) group.late++ else group.arriving++
        }
        groups = groupsByKey
    }

    private fun countRegistered(machine: Machine, group: GroupHealth) {
        group.registered++
        registered++
        when {
            fleet.isReady(machine) -> group.ready++
            isUnreadinessJustified(machine, group.key) -> group.unreadyJustified++
            else -> {
                group.unready++
                unjustifiedUnready++
            }
        }
    }

    private fun isUnreadinessJustified(machine: Machine, key: GroupKey): Boolean = machine.isBeingScaledIn ||
        machine.terminationNoticeAt > Machine.NEVER ||
        machine.listed == ListedState.FAILED ||
        key.zone in partitionedZones

    /** Whether [booting] was requested so long ago that it should have registered by now. */
    fun isLate(booting: BootingMachine): Boolean = ctx.now - booting.requestedAt > registrationTimeoutS(booting.group)

    /** The counts of the group [key] as of the last [refresh]; all are zero if it has no machines. */
    fun groupHealth(key: GroupKey): GroupHealth = groups[key] ?: GroupHealth(key)

    /** S1: whether few enough machines are unready for no known reason. */
    val inGoodShape: Boolean
        get() = unjustifiedUnready < GroupHealth.MIN_BROAD_FAILURE ||
            unjustifiedUnready <= registered * ctx.tuning.haltUnreadyShare
}
