package plankwall.core

import org.slf4j.LoggerFactory
import plankwall.model.GroupKey
import plankwall.model.Resources

/**
 * Places gangs of several tasks: all of them or none. While a gang lacks room, what there is of it in one zone is kept
 * for it from pass to pass; left to itself such room would go, piece by piece, to smaller tasks, and the gang would
 * wait for ever among half-used machines (DESIGN's scattered room).
 */
class GangPlacer(private val ctx: Context, private val book: JobBook, private val fleet: Fleet, private val room: Room) {
    private val log = LoggerFactory.getLogger("placer")
    private val held = HashMap<Job, Int>()

    /** Arriving machines that gangs looked at earlier in this pass count on. */
    private val counted = HashSet<String>()

    /** Whether the rental loop would rent in a group now. */
    var mayExpand: (GroupKey) -> Boolean = { true }

    /** Tasks of [job] for which the last pass kept room. */
    fun heldFor(job: Job): Int = held[job] ?: 0

    private class Seat(val machine: Machine, val score: Double, val wait: Double)

    /** What was kept is kept for one pass; a job that is over must not be remembered. */
    fun beginPass() {
        held.clear()
        counted.clear()
    }

    /** The number of tasks placed. */
    fun place(job: Job, roomy: List<Machine>, usable: List<Machine>): Int {
        // Nothing may be left of an earlier attempt.
        if (job.placements.isEmpty()) job.assembly = NONE else if (!job.assembling) return 0
        if (!book.withinLimit(job.team, job.spec.need * job.waiting.size)) return 0
        val seats = seats(job, roomy)
        val choices: Map<String?, List<Seat>> = if (job.spec.oneZone) seats.groupBy { it.machine.group?.zone } else mapOf(null to seats)
        val complete = choices.values.map { fill(job, it) }.filter { it.size == job.waiting.size }
        val chosen = complete.minByOrNull { seated -> seated.maxOf { it.wait } }
        if (chosen == null) return gather(job, choices, usable)
        seat(job, chosen)
        job.assembly = NONE
        job.gatherZone = null
        return chosen.size
    }

    private fun seat(job: Job, seats: List<Seat>) {
        if (job.assembly == NONE) job.assembly = book.newAttempt()
        job.waiting.toList().zip(seats).forEach { (task, seat) -> book.place(job, task, seat.machine, job.assembly) }
    }

    private fun seats(job: Job, roomy: List<Machine>): List<Seat> {
        val zones = ZoneRule(job)
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
        val zones = ZoneRule(job)
        val taken = ArrayList<Seat>()
        for (s in seats) {
            if (taken.size == job.waiting.size) break
            val zone = s.machine.group?.zone ?: continue
            if (!zones.allows(zone)) continue
            zones.imagine(zone)
            taken.add(s)
        }
        return taken
    }

    /** The number of tasks placed. */
    private fun gather(job: Job, choices: Map<String?, List<Seat>>, usable: List<Machine>): Int {
        if (job.gatherZone == null && !(choices.isEmpty() && job.gatherSince > 0)) {
            job.gatherZone = choices.maxByOrNull { it.value.size }?.key
            job.gatherSince = ctx.now
            if (job.gatherZone != null) log.debug("job {} gathers room in {}", job.spec.id, job.gatherZone)
        }
        // What can't be completed for long must not keep room from all others: it lets go for as long as it held.
        val patience = patienceS(job)
        if (ctx.now - job.gatherSince > patience) {
            if (ctx.now - job.gatherSince > 2 * patience) job.gatherZone = null
            job.placements.values.toList().forEach { book.stop(it, StopCause.GANG, 0.0) }
            return 0
        }
        val kept = fill(job, choices[if (job.spec.oneZone) job.gatherZone else null].orEmpty())
        val there = kept.mapTo(HashSet()) { it.machine }
        val early = kept.isNotEmpty() && restIsComing(job, job.waiting.size - kept.size)
        if (early) {
            log.info("job {}: {} of {} tasks start fetching, machines for the others are on their way", job.spec.id, kept.size, job.spec.tasks)
            seat(job, kept)
        } else {
            kept.forEach { it.machine.held += job.spec.need }
        }
        val placed = if (early) kept.size else 0
        held[job] = kept.size - placed + empty(job, usable, there, job.waiting.size + placed - kept.size)
        return placed
    }

    /**
     * Whether machines arrive that no earlier gang counts on and that the [missing] tasks fit. Then those that have room
     * may fetch their images already; left until the last machine is there, the slowest of all fetches comes on top. What
     * merely hopes for room must not sit on some: another gang might do the same, and both would wait for ever.
     */
    private fun restIsComing(job: Job, missing: Int): Boolean {
        var left = missing
        val used = ArrayList<String>()
        for (a in fleet.arrivals.values) {
            if (left <= 0) break
            val type = fleet.catalog?.get(a.group.type) ?: continue
            if (a.machine in counted || !Placer.allowed(job.spec, a.group)) continue
            if (job.gatherZone != null && a.group.zone != job.gatherZone) continue
            if (ctx.now - a.rentedAt > type.bootS * OVERDUE) continue
            left -= type.capacity.holds(job.spec.need)
            used.add(a.machine)
        }
        counted.addAll(used)
        return left <= 0
    }

    /** Keeps free whatever comes free on machines that should have room sooner than new ones could be had. */
    private fun empty(job: Job, usable: List<Machine>, kept: Set<Machine>, missing: Int): Int {
        val zones = ZoneRule(job)
        val soon = usable.mapNotNull { m ->
            val type = m.type ?: return@mapNotNull null
            val zone = m.group?.zone ?: return@mapNotNull null
            if (m in kept || (job.gatherZone != null && zone != job.gatherZone) || !room.suits(job, m, zones)) return@mapNotNull null
            if (!job.spec.need.fitsIn(type.capacity) || m.held !== Resources.NONE || m.reservations.isNotEmpty()) return@mapNotNull null
            val rentable = mayExpand(GroupKey(type.name, zone, false)) || (job.spec.spot && mayExpand(GroupKey(type.name, zone, true)))
            val newIn = type.bootS + type.fetchS(job.spec.imageGb)
            // A gang still incomplete when new machines should long be here is not put off with them again.
            val limit = if (rentable && ctx.now - job.gatherSince < newIn) newIn * SURELY_SOONER else Double.MAX_VALUE
            room.roomIn(job, m)?.let { it + m.fetchWait(job.image, job.spec.imageGb, ctx.now) }?.takeIf { it < limit }?.let { m to it }
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

        /** Boots usually take up to half as long again; later ones may never come. */
        const val OVERDUE = 1.5
        const val NONE = Job.NO_ASSEMBLY
    }
}
