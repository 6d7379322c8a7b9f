package plankwall.core.failuredetector

import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.model.Shape
import plankwall.wire.ListedState

/**
 * Classifies machines without a recent heartbeat as reconnecting to this leader, behind a network partition, or lost.
 * The result is a suspicion. It is enough for a decision to scale out, or not to delete a machine; that a task is gone
 * has to be proven, which this class never does.
 *
 * Machines that this leader knows only from the store or the cloud's list, without a heartbeat to it, count like any
 * other. If only those that reconnected counted, each machine of a partitioned zone would look like a single loss.
 *
 * @param startedAt when this leader took over, in seconds of the monotonic clock
 */
class FailureDetector(private val ctx: Context, private val fleet: Fleet, private val startedAt: Double) {
    /** The interval between the heartbeats of a worker, in seconds. */
    private val heartbeatS = ctx.settings.workers.heartbeatIntervalS

    /**
     * The longest time a healthy worker takes to find this leader after the failure of the previous one: a heartbeat or
     * two are lost, then it tries one node after another.
     */
    private val reconnectTimeS = heartbeatS * RECONNECT_HEARTBEATS + RECONNECT_HOPS_S

    /**
     * By zone, the time at which more than one machine in three last had late heartbeats, in seconds of the monotonic
     * clock.
     */
    private val degradedAtByZone = HashMap<String, Double>()

    /**
     * The zones in which nearly all machines are silent. They count as partitioned rather than failed: they are not
     * expanded, and their machines are not deleted for their silence.
     */
    var partitionedZones: Set<String> = emptySet()
        private set

    /**
     * The zones in which the heartbeats of nearly all machines are late, though few may be silent yet. A machine that
     * falls silent there has not failed by itself.
     */
    private var lateZones: Set<String> = emptySet()

    /**
     * Whether few machines outside partitioned zones are silent. If many are, the cause may be this leader's own
     * connection.
     */
    var silenceIsIsolated = true
        private set

    /** Reclassifies all machines. To be called once in each iteration, before any other member is read. */
    fun refresh() {
        val silentCounts = ZoneCounts()
        val lateCounts = ZoneCounts()
        for (machine in fleet.machines) {
            val zone = machine.group?.zone ?: continue
            if (machine.isBeingScaledIn) continue
            if (machine.isRegistered) {
                lateCounts.count(zone, ctx.now - machine.lastHeartbeatAt > heartbeatS * LATE_HEARTBEATS)
            }
            if (machine.isRegistered || isReconnectOverdue(machine)) silentCounts.count(zone, isSilent(machine))
        }
        for ((zone, count) in lateCounts.affected) {
            if (count > maxOf(1, lateCounts.all.getValue(zone) / DEGRADED_DIVISOR)) degradedAtByZone[zone] = ctx.now
        }
        lateZones = lateCounts.zonesAffectedNearlyWhole()
        partitionedZones = silentCounts.zonesAffectedNearlyWhole()
        val silentElsewhere = silentCounts.affected.filterKeys { it !in partitionedZones }.values.sum()
        val machinesElsewhere = silentCounts.all.filterKeys { it !in partitionedZones }.values.sum()
        silenceIsIsolated =
            silentElsewhere < MIN_BROAD_SILENCE ||
            silentElsewhere <= machinesElsewhere * ctx.tuning.haltUnreadyShare
    }

    /** The numbers of machines by zone: [all] that count, and those [affected] by a condition such as silence. */
    private class ZoneCounts {
        val all = HashMap<String, Int>()
        val affected = HashMap<String, Int>()

        fun count(zone: String, isAffected: Boolean) {
            all.merge(zone, 1, Int::plus)
            if (isAffected) affected.merge(zone, 1, Int::plus)
        }

        /** The zones of two or more machines of which at least [PARTITIONED_SHARE] are affected. */
        fun zonesAffectedNearlyWhole(): Set<String> =
            all.filter { (zone, count) -> count >= 2 && (affected[zone] ?: 0) >= count * PARTITIONED_SHARE }.keys
    }

    /**
     * The time at which the heartbeats of more than one machine in three of [zone], and of more than one, were last
     * late, in seconds of the monotonic clock; [Machine.NEVER] if they were not.
     */
    fun degradedAt(zone: String): Double = degradedAtByZone[zone] ?: Machine.NEVER

    /**
     * Whether [machine] should be up, by the store or the cloud's list, but has not sent a heartbeat to this leader
     * yet.
     */
    fun isAwaited(machine: Machine): Boolean = !machine.isRegistered &&
        !machine.isBeingScaledIn &&
        machine.id !in fleet.bootingMachines &&
        machine.listed != ListedState.FAILED

    /** Whether [machine] is awaited though a healthy worker would have reconnected by now. */
    private fun isReconnectOverdue(machine: Machine): Boolean =
        isAwaited(machine) && ctx.now >= startedAt + reconnectTimeS

    /** Whether [machine] has no recent heartbeat: it stopped sending them, or never reconnected to this leader. */
    fun isSilent(machine: Machine): Boolean =
        if (machine.isRegistered) !fleet.isReady(machine) else isReconnectOverdue(machine)

    /** Whether healthy workers may still be reconnecting to this leader after the failover. */
    val isSettling: Boolean get() = ctx.now < startedAt + reconnectTimeS && fleet.machines.any { isAwaited(it) }

    /**
     * Whether enough time has passed since the failover for every worker that can reach a node to have sent a
     * heartbeat. Nearly all of them have arrived by then.
     */
    val heartbeatRoundElapsed: Boolean
        get() = ctx.now >= startedAt + ctx.settings.workers.longestHeartbeatIntervalS + HEARTBEAT_HOPS_S

    /**
     * Returns the replicas of live services on machines presumed lost, by job. Until there is proof that a replica is
     * gone it counts as placed, and no replacement starts. But a machine for the replacement may be requested without
     * proof, and booting it takes as long as the proof. In a partition the heartbeats of the whole zone are late before
     * the first of its machines counts as silent, so no machine is requested for it.
     */
    fun findEndangeredReplicas(): Map<Job, Set<Placement>> = fleet.machines
        .filter { isSilent(it) && it.group?.zone !in partitionedZones && it.group?.zone !in lateZones }
        .flatMap { it.placements.values }
        .filter { it.job.spec.shape == Shape.SERVICE && !it.job.cancelled && it.stopping == null }
        .groupBy { it.job }
        .mapValues { it.value.toSet() }

    private companion object {
        /** The number of heartbeat intervals after which the heartbeat of a machine is late. */
        const val LATE_HEARTBEATS = 1.7

        /** The share of a zone's machines that must be affected for nearly the whole zone to count as affected. */
        const val PARTITIONED_SHARE = 0.8

        /** The inverse of the share of machines with late heartbeats above which a zone is degraded. */
        const val DEGRADED_DIVISOR = 3

        /** The number of silent machines below which silence is isolated, however large their share is. */
        const val MIN_BROAD_SILENCE = 3

        /** The number of heartbeat intervals that a healthy worker may take to notice that its leader is gone. */
        const val RECONNECT_HEARTBEATS = 3

        /** The time that a worker then takes to try one node after another. */
        const val RECONNECT_HOPS_S = 4.0

        /** The time for an attempt at a node that is down, and for one at a node that only knows which node leads. */
        const val HEARTBEAT_HOPS_S = 2.0
    }
}
