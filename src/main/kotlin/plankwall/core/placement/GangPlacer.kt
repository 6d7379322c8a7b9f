package plankwall.core.placement

import org.slf4j.LoggerFactory
import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.model.Resources

/**
 * Places gangs of several tasks: all of them or none. While a gang lacks room, what there is of it in one zone is kept
 * for it from pass to pass; left to itself such room would go, piece by piece, to smaller tasks, and the gang would
 * wait for ever among half-used machines (DESIGN's scattered room).
 */
class GangPlacer(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val room: FreeCapacity,
) {
    private val log = LoggerFactory.getLogger("placer")
    private val held = HashMap<Job, Int>()

    /** Whether the rental loop would rent in a group now. */
    var mayExpand: (GroupKey) -> Boolean = { true }

    /** Tasks of [job] for which the last pass kept room. */
    fun heldFor(job: Job): Int = held[job] ?: 0

    private class Seat(val machine: Machine, val score: Double, val wait: Double)

    /** What was kept is kept for one pass; a job that is over must not be remembered. */
    fun beginPass() = held.clear()

    /** The number of tasks placed. */
    fun place(job: Job, roomy: List<Machine>, usable: List<Machine>): Int {
        // Nothing may be left of its last attempt.
        if (job.placements.isNotEmpty() ||
            !schedulerState.withinLimit(job.team, job.spec.need * job.waiting.size)
        ) {
            return 0
        }
        val seats = seats(job, roomy)
        val choices: Map<String?, List<Seat>> = if (job.spec.oneZone) {
            seats.groupBy { it.machine.group?.zone }
        } else {
            mapOf(
                null to seats,
            )
        }
        val complete = choices.values.map { fill(job, it) }.filter { it.size == job.waiting.size }
        val chosen = complete.minByOrNull { seated -> seated.maxOf { it.wait } }
        if (chosen == null) {
            gather(job, choices, usable)
            return 0
        }
        val attempt = schedulerState.newAttempt()
        job.waiting.toList().zip(chosen).forEach { (task, seat) ->
            schedulerState.place(job, task, seat.machine, attempt)
        }
        job.gatherZone = null
        return chosen.size
    }

    private fun seats(job: Job, roomy: List<Machine>): List<Seat> {
        val zones = ZoneConstraint(job)
        val found = ArrayList<Seat>()
        for (m in roomy) {
            if (!room.suits(job, m, zones)) continue
            val n = room.openTo(job, m).holds(job.spec.need)
            if (n <= 0) continue
            val score = room.score(job, m)
            val wait = m.fetchWait(job.image, job.spec.imageGb, ctx.now)
            repeat(minOf(n, job.waiting.size)) { found.add(Seat(m, score, wait)) }
        }
        return found.sortedBy { it.score }
    }

    /** The best seats that the zone rule allows side by side, at most one for each task. */
    private fun fill(job: Job, seats: List<Seat>): List<Seat> {
        val zones = ZoneConstraint(job)
        val taken = ArrayList<Seat>()
        for (s in seats) {
            if (taken.size == job.waiting.size) break
            val zone = s.machine.group?.zone ?: continue
            if (!zones.allows(zone)) continue
            zones.addPlanned(zone)
            taken.add(s)
        }
        return taken
    }

    private fun gather(job: Job, choices: Map<String?, List<Seat>>, usable: List<Machine>) {
        if (job.gatherZone == null && !(choices.isEmpty() && job.gatherSince > 0)) {
            job.gatherZone = choices.maxByOrNull { it.value.size }?.key
            job.gatherSince = ctx.now
            if (job.gatherZone != null) log.debug("job {} gathers room in {}", job.spec.id, job.gatherZone)
        }
        // What can't be completed for long must not keep room from all others: it lets go for as long as it held.
        val patience = patienceS(job)
        if (ctx.now - job.gatherSince > patience) {
            if (ctx.now - job.gatherSince > 2 * patience) job.gatherZone = null
            return
        }
        val kept = fill(job, choices[if (job.spec.oneZone) job.gatherZone else null].orEmpty())
        kept.forEach { it.machine.held += job.spec.need }
        held[job] = kept.size + empty(job, usable, kept.mapTo(HashSet()) { it.machine }, job.waiting.size - kept.size)
    }

    /** Keeps free whatever comes free on machines that should have room sooner than new ones could be had. */
    private fun empty(job: Job, usable: List<Machine>, kept: Set<Machine>, missing: Int): Int {
        val zones = ZoneConstraint(job)
        val soon = usable.mapNotNull { m ->
            val type = m.type ?: return@mapNotNull null
            val zone = m.group?.zone ?: return@mapNotNull null
            if (m in kept ||
                (job.gatherZone != null && zone != job.gatherZone) ||
                !room.suits(job, m, zones)
            ) {
                return@mapNotNull null
            }
            if (!job.spec.need.fitsIn(type.capacity) ||
                m.held !== Resources.NONE ||
                m.reservations.isNotEmpty()
            ) {
                return@mapNotNull null
            }
            val rentable =
                mayExpand(GroupKey(type.name, zone, false)) ||
                    (job.spec.spot && mayExpand(GroupKey(type.name, zone, true)))
            val newIn = type.bootS + type.fetchS(job.spec.imageGb)
            // A gang still incomplete when new machines should long be here is not put off with them again.
            val limit = if (rentable && ctx.now - job.gatherSince < newIn) newIn * SURELY_SOONER else Double.MAX_VALUE
            room.roomIn(job, m)?.let {
                it + m.fetchWait(job.image, job.spec.imageGb, ctx.now)
            }?.takeIf { it < limit }?.let {
                m to
                    it
            }
        }
        val chosen = soon.sortedBy { it.second }.take(missing)
        chosen.forEach { (m, _) -> m.held += m.free }
        return chosen.size
    }

    /** Several times as long as machines to complete the gang should take to come. */
    private fun patienceS(job: Job): Double =
        4 * (fleet.catalog?.types?.maxOfOrNull { it.bootS + it.fetchS(job.spec.imageGb) } ?: 0.0)

    private companion object {
        /** Estimates are often too low: only what should come much sooner than a new machine is waited for instead. */
        const val SURELY_SOONER = 0.5
    }
}
