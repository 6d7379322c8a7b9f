package plankwall.core.placement

import org.slf4j.LoggerFactory
import plankwall.core.queue.PendingQueue
import plankwall.core.state.EquivalenceClass
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.state.SchedulerState
import plankwall.core.state.StopCause
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.Priority
import plankwall.model.TeamIndex

/** Makes room for waiting tasks by stopping tasks of lower standing, the fewest and the least work lost for each. */
class Preemptor(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val room: FreeCapacity,
    private val backlog: PendingQueue,
) {
    private val log = LoggerFactory.getLogger("placer")
    private val hopeless = HashSet<EquivalenceClass>()
    private var searches = 0

    private class Place(val machine: Machine, val victims: List<Placement>)

    fun beginPass() {
        hopeless.clear()
        searches = MAX_SEARCHES
    }

    fun makeRoom(job: Job, usable: List<Machine>) {
        if (job.priority <= Priority.LOW && !job.guaranteed) return
        if (job.isGang && job.placements.isNotEmpty()) return
        if (job.isGangOfSeveral) {
            makeRoomForGang(job, usable)
            return
        }
        val zones = zonesOf(job, usable)
        while (job.waiting.size > room.reserved(job)) {
            if (!schedulerState.withinLimit(job.team, job.spec.need * (1 + room.reserved(job)))) return
            val place = find(job, usable, zones, emptySet()) ?: return
            take(job, place)
            place.machine.group?.let { zones.addPlanned(it.zone) }
        }
    }

    /** For a gang room is made for all that is missing, in one zone if it must be, or for nothing. */
    private fun makeRoomForGang(job: Job, usable: List<Machine>) {
        if (ctx.now - job.gatherSince < GANG_WAITS_S || room.reserved(job) > 0) return
        if (!schedulerState.withinLimit(job.team, job.spec.need * job.waiting.size)) return
        val choices = if (!job.spec.oneZone) {
            listOf(usable)
        } else {
            usable.groupBy { it.group?.zone }
                .filterKeys { job.gatherZone == null || it == job.gatherZone }.values
        }
        val places = choices.firstNotNullOfOrNull { placesFor(job, it) } ?: return
        places.forEach { take(job, it) }
    }

    private fun placesFor(job: Job, there: List<Machine>): List<Place>? {
        val zones = ZoneConstraint(job)
        val taken = HashSet<Machine>()
        val places = ArrayList<Place>()
        // Room that is open needs no victims; what a pass keeps for a gang is its own.
        val open = there.filter { room.suits(job, it, zones) && job.spec.need.fitsIn(it.free) }
        taken.addAll(open)
        repeat(job.waiting.size - open.sumOf { it.free.holds(job.spec.need) }) {
            val place = find(job, there, zones, taken) ?: return null
            places.add(place)
            taken.add(place.machine)
        }
        return places
    }

    private fun zonesOf(job: Job, usable: List<Machine>): ZoneConstraint {
        val zones = ZoneConstraint(job)
        if (room.reserved(job) > 0 && zones.isBinding) {
            for (m in usable) {
                m.reservations.forEach { r -> if (r.job === job) m.group?.let { zones.addPlanned(it.zone) } }
            }
        }
        return zones
    }

    private fun take(job: Job, place: Place) {
        room.reserve(job, place.machine, ctx.now + RESERVE_S)
        log.info("job {} preempts {} on {}", job.spec.id, place.victims.map { it.id }, place.machine.id)
        place.victims.forEach {
            backlog.stopped(it.job, if (it.job.isGang) it.job.placements.size else 1)
            schedulerState.stopWithSave(it, StopCause.PREEMPTED)
        }
    }

    private fun find(job: Job, usable: List<Machine>, zones: ZoneConstraint, taken: Set<Machine>): Place? {
        if (searches <= 0 || job.equivalenceClass in hopeless) return null
        searches--
        var found: Place? = null
        var lowest = Double.MAX_VALUE
        for (m in usable) {
            if (m in taken || m.placements.isEmpty() || !room.suits(job, m, zones)) continue
            val wait = m.fetchWait(job.image, job.spec.imageGb, ctx.now)
            if (wait >= lowest) continue
            val victims = victimsOn(m, job) ?: continue
            val cost = victims.sumOf { lossOf(it) } + wait
            if (cost < lowest) {
                lowest = cost
                found = Place(m, victims)
            }
        }
        if (found == null && !zones.isBinding && taken.isEmpty() && !job.guaranteed) hopeless.add(job.equivalenceClass)
        return found
    }

    /** Seconds of work that stopping [p] would throw away; a gang goes with all its tasks. */
    private fun lossOf(p: Placement): Double = lossOfOne(p) * if (p.job.isGang) p.job.placements.size else 1

    /** What is not saved, and a little for the trouble of starting again. */
    private fun lossOfOne(p: Placement): Double {
        if (p.runningSince <= 0.0) return RESTART_COST_S
        val ran = ctx.now - p.runningSince
        return RESTART_COST_S + if (p.job.spec.checkpointS > 0) minOf(ran, p.job.spec.saveS) else ran
    }

    private fun victimsOn(m: Machine, job: Job): List<Placement>? {
        var free = if (job.isGang) m.free else m.free - m.held
        var candidates: ArrayList<Placement>? = null
        for (p in m.placements.values) {
            if (p.stopping != null) {
                free += p.job.spec.need
            } else if (!p.ended && mayPreempt(job, p.job)) {
                candidates = (candidates ?: ArrayList()).apply { add(p) }
            }
        }
        m.reservations.forEach { free -= it.job.spec.need }
        if (candidates == null) return if (job.spec.need.fitsIn(free)) emptyList() else null
        candidates.sortWith(
            compareBy<Placement> {
                it.job.priority
            }.thenByDescending { it.job.bestEffort }.thenBy { lossOf(it) },
        )
        val victims = ArrayList<Placement>()
        for (p in candidates) {
            if (job.spec.need.fitsIn(free)) break
            victims.add(p)
            free += p.job.spec.need
        }
        return if (job.spec.need.fitsIn(free)) victims else null
    }

    private fun mayPreempt(job: Job, victim: Job): Boolean {
        // A gang of several would be lost as a whole; leave it to those who have no other way.
        if (victim.isGangOfSeveral && job.priority < Priority.PRODUCTION) return false
        if (victim.priority <
            job.priority
        ) {
            return job.priority == Priority.PRODUCTION || job.guaranteed || !backlog.isSpared(victim)
        }
        // A guarantee is owed, but not at the cost of more important work: two jobs would push each other about.
        return job.guaranteed &&
            !victim.guaranteed &&
            victim.team != job.team &&
            victim.priority == job.priority &&
            beyondGuarantee(victim.team)
    }

    private fun beyondGuarantee(team: TeamIndex): Boolean {
        val t = ctx.settings.teams[team.value]
        // Whatever a team without a guarantee runs is beyond it: guests once kept a guarantee waiting.
        if (!t.hasGuarantee) return true
        val used = schedulerState.used(team)
        return (t.gpus > 0 && used.gpus > t.gpus) || (t.cpus > 0 && used.cpus > t.cpus)
    }

    private companion object {
        const val MAX_SEARCHES = 16
        const val GANG_WAITS_S = 2.0
        const val RESTART_COST_S = 5.0
        const val RESERVE_S = 12.0
    }
}
