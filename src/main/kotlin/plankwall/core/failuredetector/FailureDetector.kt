package plankwall.core.failuredetector

import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.model.Shape
import plankwall.wire.ListedState

/**
 * Classifies machines without a recent heartbeat: reconnecting to this leader, behind a network partition, or lost.
 * This is suspicion, good enough for scaling out and for leaving machines alone; that a task is gone takes proof, which
 * is not found here.
 *
 * [startedAt] is when this leader took over, in seconds of the steady clock. Machines that it had no heartbeat from
 * itself, but knows from the store or the cloud's list, count like any other: a leader that judged only by those that
 * reconnected would take a partitioned zone for so many single losses.
 */
class FailureDetector(private val ctx: Context, private val fleet: Fleet, private val startedAt: Double) {
    private val heartbeatS = ctx.settings.workers.reportS

    /** The longest way from a leader that is gone to this one: a heartbeat or two lost, then from node to node. */
    private val reconnectS = heartbeatS * RECONNECT_HEARTBEATS + RECONNECT_HOPS_S
    private val degradedAt = HashMap<String, Double>()

    /** Zones that are silent nearly whole: partitioned rather than failed, so not expanded and left alone. */
    var partitionedZones: Set<String> = emptySet()
        private set

    /** Zones of which nearly all heartbeats are late already: machines there do not fall silent by themselves. */
    private var lateZones: Set<String> = emptySet()

    /**
     * Whether machines have fallen silent one by one, rather than so many at once that it may be this leader's own
     * connection.
     */
    var silenceIsIsolated = true
        private set

    /** To be called once in each round, before anything else is asked. */
    fun refresh() {
        val silent = ZoneCounts()
        val late = ZoneCounts()
        for (machine in fleet.machines) {
            val zone = machine.group?.zone ?: continue
            if (machine.returning) continue
            if (machine.registered) late.count(zone, ctx.now - machine.lastHeard > heartbeatS * LATE_HEARTBEATS)
            if (machine.registered || isOverdue(machine)) silent.count(zone, isSilent(machine))
        }
        for ((zone, count) in late.affected) {
            if (count > maxOf(1, late.all.getValue(zone) / DEGRADED_PART)) degradedAt[zone] = ctx.now
        }
        lateZones = late.nearlyWhole()
        partitionedZones = silent.nearlyWhole()
        val silentElsewhere = silent.affected.filterKeys { it !in partitionedZones }.values.sum()
        val machinesElsewhere = silent.all.filterKeys { it !in partitionedZones }.values.sum()
        silenceIsIsolated =
            silentElsewhere < MIN_BROAD ||
            silentElsewhere <= machinesElsewhere * ctx.tuning.haltUnreadyShare
    }

    /** Machines by zone, and those that are affected by something. */
    private class ZoneCounts {
        val all = HashMap<String, Int>()
        val affected = HashMap<String, Int>()

        fun count(zone: String, isAffected: Boolean) {
            all.merge(zone, 1, Int::plus)
            if (isAffected) affected.merge(zone, 1, Int::plus)
        }

        fun nearlyWhole(): Set<String> =
            all.filter { (zone, count) -> count >= 2 && (affected[zone] ?: 0) >= count * PARTITIONED_PART }.keys
    }

    /** When more than one machine in three (and more than one) of [zone] were last late with their heartbeats. */
    fun degradedAt(zone: String): Double = degradedAt[zone] ?: Machine.NEVER

    /** Whether [machine] was up when this leader took over, by the store or the list, and has not reconnected yet. */
    fun isAwaited(machine: Machine): Boolean = !machine.registered &&
        !machine.returning &&
        machine.id !in fleet.arrivals &&
        machine.listed != ListedState.FAILED

    /** Awaited for longer than it takes to reconnect. */
    private fun isOverdue(machine: Machine): Boolean = isAwaited(machine) && ctx.now >= startedAt + reconnectS

    /** Whether heartbeats of [machine] are missing, in this leader's time or since before it. */
    fun isSilent(machine: Machine): Boolean = if (machine.registered) !fleet.isReady(machine) else isOverdue(machine)

    /** Whether sound workers may still be about to reconnect to this leader. */
    val isSettling: Boolean get() = ctx.now < startedAt + reconnectS && fleet.machines.any { isAwaited(it) }

    /** Every worker that can reach a node has been due with a heartbeat since the failover, and nearly all are here. */
    val heartbeatRoundElapsed: Boolean
        get() = ctx.now >= startedAt + ctx.settings.workers.longestReportS + HEARTBEAT_HOPS_S

    /**
     * Replicas of live services on machines presumed lost, by job. They count as placed until there is proof, and start
     * nowhere before; but no rule asks for proof before a machine is requested for them, and booting one takes as long.
     * A partition shows as lateness of the whole zone before the first of its machines counts as silent, so no machine
     * is requested for a partition.
     */
    fun endangered(): Map<Job, Set<Placement>> = fleet.machines
        .filter { isSilent(it) && it.group?.zone !in partitionedZones && it.group?.zone !in lateZones }
        .flatMap { it.placements.values }
        .filter { it.job.spec.shape == Shape.SERVICE && !it.job.cancelled && it.stopping == null }
        .groupBy { it.job }
        .mapValues { it.value.toSet() }

    private companion object {
        const val LATE_HEARTBEATS = 1.7
        const val PARTITIONED_PART = 0.8

        /** One of so many heartbeats late: degraded. */
        const val DEGRADED_PART = 3

        /** A few silent machines are no sign of anything broad, whatever their share. */
        const val MIN_BROAD = 3
        const val RECONNECT_HEARTBEATS = 3
        const val RECONNECT_HOPS_S = 4.0

        /** A try at a node that is gone, and one at a node that only knows who leads. */
        const val HEARTBEAT_HOPS_S = 2.0
    }
}
