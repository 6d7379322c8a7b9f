package plankwall.core.placement

import org.slf4j.LoggerFactory
import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.GroupKey
import plankwall.model.MachineType
import plankwall.model.Resources

/**
 * Gang scheduling: places all tasks of a gang or none. While a gang lacks room, what there is of it in one zone is held
 * for it from pass to pass; otherwise such room would go, piece by piece, to smaller tasks, and the gang would wait for
 * ever among half-used machines.
 */
class GangPlacer(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val capacity: FreeCapacity,
) {
    private val log = LoggerFactory.getLogger("placement")
    private val held = HashMap<Job, Int>()

    /** Whether the autoscaler would expand a group now. */
    var mayExpand: (GroupKey) -> Boolean = { true }

    /** For how many tasks of [job] the last pass held room. */
    fun heldFor(job: Job): Int = held[job] ?: 0

    /** Room for one task on [machine]. */
    private class Slot(val machine: Machine, val score: Double, val fetchWaitS: Double)

    /** A machine that should have room in [freeInS], the fetch of the image included. */
    private class VacatingMachine(val machine: Machine, val freeInS: Double)

    /** Forgets what was held for the last pass; a job that is over must not be remembered. */
    fun beginPass() = held.clear()

    /** Places all waiting tasks of [job] or, if there is no room for all, holds what there is. Returns how many. */
    fun place(job: Job, withRoom: List<Machine>, usable: List<Machine>): Int {
        // Nothing may be left of its last attempt.
        if (job.placements.isNotEmpty()) return 0
        if (!schedulerState.withinLimit(job.team, job.spec.need * job.waiting.size)) return 0
        val slots = slotsByScore(job, withRoom)
        val slotsByZone: Map<String?, List<Slot>> =
            if (job.spec.oneZone) slots.groupBy { it.machine.group?.zone } else mapOf(null to slots)
        val chosen = slotsByZone.values.map { selectSlots(job, it) }
            .filter { it.size == job.waiting.size }
            .minByOrNull { complete -> complete.maxOf { it.fetchWaitS } }
        if (chosen == null) {
            holdRoom(job, slotsByZone, usable)
            return 0
        }
        bind(job, chosen)
        return chosen.size
    }

    private fun bind(job: Job, slots: List<Slot>) {
        val attempt = schedulerState.newAttempt()
        job.waiting.toList().zip(slots).forEach { (task, slot) ->
            schedulerState.place(job, task, slot.machine, attempt)
        }
        job.gatherZone = null
    }

    private fun slotsByScore(job: Job, withRoom: List<Machine>): List<Slot> {
        val zones = ZoneConstraint(job)
        val slots = ArrayList<Slot>()
        for (machine in withRoom) {
            if (!capacity.isEligible(job, machine, zones)) continue
            val count = capacity.freeFor(job, machine).holds(job.spec.need)
            if (count <= 0) continue
            val score = capacity.score(job, machine)
            val fetchWaitS = machine.fetchWait(job.image, job.spec.imageGb, ctx.now)
            repeat(minOf(count, job.waiting.size)) { slots.add(Slot(machine, score, fetchWaitS)) }
        }
        return slots.sortedBy { it.score }
    }

    /** The best slots that the zone constraint allows side by side, at most one for each task. */
    private fun selectSlots(job: Job, slots: List<Slot>): List<Slot> {
        val zones = ZoneConstraint(job)
        val selected = ArrayList<Slot>()
        for (slot in slots) {
            if (selected.size == job.waiting.size) break
            val zone = slot.machine.group?.zone ?: continue
            if (!zones.allows(zone)) continue
            zones.addPlanned(zone)
            selected.add(slot)
        }
        return selected
    }

    private fun holdRoom(job: Job, slotsByZone: Map<String?, List<Slot>>, usable: List<Machine>) {
        if (job.gatherZone == null && !(slotsByZone.isEmpty() && job.gatherSince > 0)) {
            job.gatherZone = slotsByZone.maxByOrNull { it.value.size }?.key
            job.gatherSince = ctx.now
            if (job.gatherZone != null) log.debug("gang holds room job={} zone={}", job.spec.id, job.gatherZone)
        }
        // A gang that can't be completed for long must not keep room from all others: it lets go for as long as it
        // held.
        val timeoutS = holdTimeoutS(job)
        if (ctx.now - job.gatherSince > timeoutS) {
            if (ctx.now - job.gatherSince > 2 * timeoutS) job.gatherZone = null
            return
        }
        val slots = selectSlots(job, slotsByZone[if (job.spec.oneZone) job.gatherZone else null].orEmpty())
        slots.forEach { it.machine.held += job.spec.need }
        val holding = slots.mapTo(HashSet()) { it.machine }
        held[job] = slots.size + holdVacating(job, usable, holding, job.waiting.size - slots.size)
    }

    /**
     * Holds, for [missing] tasks, whatever comes free on machines that should have room sooner than new ones. Returns
     * on how many.
     */
    private fun holdVacating(job: Job, usable: List<Machine>, holding: Set<Machine>, missing: Int): Int {
        val zones = ZoneConstraint(job)
        val chosen = usable
            .mapNotNull { if (it in holding) null else vacatingFor(job, it, zones) }
            .sortedBy { it.freeInS }
            .take(missing)
        chosen.forEach { it.machine.held += it.machine.free }
        return chosen.size
    }

    private fun vacatingFor(job: Job, machine: Machine, zones: ZoneConstraint): VacatingMachine? {
        val type = machine.type ?: return null
        val zone = machine.group?.zone ?: return null
        if (job.gatherZone != null && zone != job.gatherZone) return null
        if (!capacity.isEligible(job, machine, zones) || !job.spec.need.fitsIn(type.capacity)) return null
        if (machine.held !== Resources.NONE || machine.reservations.isNotEmpty()) return null
        val roomInS = capacity.secondsUntilFree(job, machine) ?: return null
        val freeInS = roomInS + machine.fetchWait(job.image, job.spec.imageGb, ctx.now)
        return if (freeInS < maxWaitS(job, type, zone)) VacatingMachine(machine, freeInS) else null
    }

    /** Seconds within which room has to come free in [zone] to be worth more than a new machine of [type]. */
    private fun maxWaitS(job: Job, type: MachineType, zone: String): Double {
        val mayGetNew = mayExpand(GroupKey(type.name, zone, false)) ||
            (job.spec.spot && mayExpand(GroupKey(type.name, zone, true)))
        val newMachineInS = type.bootS + type.fetchS(job.spec.imageGb)
        // A gang still incomplete when new machines should long be there does not wait for them again.
        val waitsForNew = mayGetNew && ctx.now - job.gatherSince < newMachineInS
        return if (waitsForNew) newMachineInS * CLEARLY_SOONER_PART else Double.MAX_VALUE
    }

    /** Several times as long as machines to complete the gang should take to come. */
    private fun holdTimeoutS(job: Job): Double = HOLD_TIMEOUT_BOOTS *
        (fleet.catalog?.types?.maxOfOrNull { it.bootS + it.fetchS(job.spec.imageGb) } ?: 0.0)

    private companion object {
        /** Estimates are often too low: only what should come much sooner than a new machine is waited for instead. */
        const val CLEARLY_SOONER_PART = 0.5

        /** In boots and fetches of the slowest machine type. */
        const val HOLD_TIMEOUT_BOOTS = 4
    }
}
