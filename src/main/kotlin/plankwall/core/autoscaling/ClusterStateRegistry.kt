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

    /** Silent for no reason we know. */
    var unready = 0

    /** Silent, but being returned, about to be taken, or behind a cut that takes its whole zone. */
    var unreadyJustified = 0

    /** Rented and not yet registered, not late (UC1, UC2, S3). */
    var arriving = 0

    /** Rented and late: listed but never registered, or never listed (UC3 to UC5). */
    var late = 0

    /** S2: a group with many unready or failed starts is not expanded. */
    val healthy: Boolean get() = unready + late <= maxOf(2, (registered + late) / 3)

    /** Of S2 the part that says what becomes of new machines; those that died at work say nothing about it. */
    val startsFail: Boolean get() = late > maxOf(2, (registered + late) / 3)
}

/**
 * The paper's cluster state registry: is the whole in good shape (S1), is each group (S2), what should arrive soon
 * (S3). It only reads; the rental loop acts.
 */
class ClusterStateRegistry(
    private val ctx: Context,
    private val fleet: Fleet,
    private val failureDetector: FailureDetector,
    private val registrationTimeoutS: (GroupKey) -> Double = { ctx.tuning.unregisteredS },
) {
    var groups: Map<GroupKey, GroupHealth> = emptyMap()
        private set
    val partitionedZones: Set<String> get() = failureDetector.partitionedZones
    var registered = 0
        private set
    var unjustifiedUnready = 0
        private set

    fun refresh(arrivals: Map<String, BootingMachine>) {
        failureDetector.refresh()
        val found = HashMap<GroupKey, GroupHealth>()
        registered = 0
        unjustifiedUnready = 0
        for (m in fleet.machines) {
            val key = m.group ?: continue
            if (!m.registered) continue
            val g = found.getOrPut(key) { GroupHealth(key) }
            g.registered++
            registered++
            when {
                fleet.isReady(m) -> g.ready++
                isExplained(m, key) -> g.unreadyJustified++
                else -> {
                    g.unready++
                    unjustifiedUnready++
                }
            }
        }
        for (a in arrivals.values) {
            val g = found.getOrPut(a.group) { GroupHealth(a.group) }
            if (isLate(a)) g.late++ else g.arriving++
        }
        groups = found
    }

    fun isLate(a: BootingMachine): Boolean = ctx.now - a.rentedAt > registrationTimeoutS(a.group)

    private fun isExplained(m: Machine, key: GroupKey): Boolean =
        m.returning || m.noticeAt > Machine.NEVER || m.listed == ListedState.FAILED || key.zone in partitionedZones

    fun group(key: GroupKey): GroupHealth = groups[key] ?: GroupHealth(key)

    /** S1: most machines are ready. A handful of silent ones is no sign of a broad failure, whatever their share. */
    val inGoodShape: Boolean
        get() = unjustifiedUnready < 3 || unjustifiedUnready <= registered * ctx.tuning.haltUnreadyShare
}
