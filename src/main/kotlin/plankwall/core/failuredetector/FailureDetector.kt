package plankwall.core.failuredetector

import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.model.Shape
import plankwall.wire.ListedState

/**
 * What the leader makes of machines that it does not hear: on their way to it, behind a cut, or lost. These are
 * beliefs, good for renting and for leaving machines alone; that a task is gone takes proof, which is not found here.
 *
 * [startedAt] is when this leader took over, in seconds of the steady clock. What it has never heard itself, but knows
 * from the store or the cloud's list, counts like any other machine: a leader that judged only by those that found
 * their way to it would take a cut zone for so many single deaths.
 */
class FailureDetector(private val ctx: Context, private val fleet: Fleet, private val startedAt: Double) {
    private val reportS = ctx.settings.workers.reportS
    private val troubled = HashMap<String, Double>()

    /** Zones that are silent nearly whole: cut off rather than broken, explained, not expanded, left alone. */
    var partitionedZones: Set<String> = emptySet()
        private set

    /** Zones of which nearly all are late already: machines there do not fall silent by themselves. */
    private var lateZones: Set<String> = emptySet()

    /**
     * Whether machines have fallen silent one by one, rather than so many at once that it may be this leader's own
     * ears.
     */
    var silenceIsIsolated = true
        private set

    /** To be called once for each round, before anything else is asked. */
    fun refresh() {
        val zones = Zones()
        val late = Zones()
        for (m in fleet.machines) {
            val zone = m.group?.zone ?: continue
            if (m.returning) continue
            if (m.registered) late.count(zone, ctx.now - m.lastHeard > reportS * LATE_REPORTS)
            if (m.registered || overdue(m)) zones.count(zone, isSilent(m))
        }
        late.bad.forEach { (zone, n) -> if (n > maxOf(1, late.all.getValue(zone) / 3)) troubled[zone] = ctx.now }
        lateZones = late.nearlyWhole()
        partitionedZones = zones.nearlyWhole()
        val silent = zones.bad.filterKeys { it !in partitionedZones }.values.sum()
        silenceIsIsolated =
            silent < HANDFUL ||
            silent <= zones.all.filterKeys { it !in partitionedZones }.values.sum() * ctx.tuning.haltUnreadyShare
    }

    private class Zones {
        val all = HashMap<String, Int>()
        val bad = HashMap<String, Int>()

        fun count(zone: String, isBad: Boolean) {
            all.merge(zone, 1, Int::plus)
            if (isBad) bad.merge(zone, 1, Int::plus)
        }

        fun nearlyWhole(): Set<String> = all.filter { (zone, n) -> n >= 2 && (bad[zone] ?: 0) >= n * CUT_SHARE }.keys
    }

    /** When more than one machine in three (and more than one) of [zone] were last late with their reports. */
    fun degradedAt(zone: String): Double = troubled[zone] ?: Machine.NEVER

    /** Was up when this leader took over, by the store or the list, and has not been heard by it yet. */
    fun isAwaited(m: Machine): Boolean =
        !m.registered && !m.returning && m.id !in fleet.arrivals && m.listed != ListedState.FAILED

    /** Awaited for longer than any way back takes. */
    private fun overdue(m: Machine): Boolean = isAwaited(m) && ctx.now >= startedAt + wayBackS

    fun isSilent(m: Machine): Boolean = if (m.registered) !fleet.isReady(m) else overdue(m)

    /** The longest way from a leader that is gone to this one: a report or two to nobody, then from node to node. */
    private val wayBackS = reportS * 3 + 4.0

    /** Workers that are sound may still be on their way to this leader. */
    val isSettling: Boolean get() = ctx.now < startedAt + wayBackS && fleet.machines.any { isAwaited(it) }

    /** Every worker that can reach a node has been due with a report since the take-over, and nearly all are here. */
    val heartbeatRoundElapsed: Boolean get() = ctx.now >= startedAt + ctx.settings.workers.longestReportS + HOPS_S

    /**
     * Replicas of live services on machines believed lost, by job. They count as placed until there is proof, and start
     * nowhere before; but no rule asks for proof before a machine is rented for them, and booting one takes as long. A
     * cut shows as lateness of the whole zone before the first of its machines counts as silent, so none is rented for
     * a cut.
     */
    fun endangered(): Map<Job, Set<Placement>> = fleet.machines
        .filter { isSilent(it) && it.group?.zone !in partitionedZones && it.group?.zone !in lateZones }
        .flatMap { it.placements.values }
        .filter { it.job.spec.shape == Shape.SERVICE && !it.job.cancelled && it.stopping == null }
        .groupBy { it.job }
        .mapValues { it.value.toSet() }

    private companion object {
        const val LATE_REPORTS = 1.7
        const val CUT_SHARE = 0.8

        /** A few silent machines are no sign of anything broad, whatever their share. */
        const val HANDFUL = 3

        /** A try at a node that is gone, and one at a node that only knows who leads. */
        const val HOPS_S = 2.0
    }
}
