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
 * Gang scheduling: places all tasks of a gang or none. While there is not enough free capacity for a gang, the free
 * capacity of one zone is held for it from pass to pass, or that of all zones if the gang need not be in one. Otherwise
 * smaller tasks would take it bit by bit, and the gang would wait forever among half-used machines.
 */
class GangPlacer(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val capacity: FreeCapacity,
) {
    private val log = LoggerFactory.getLogger("placement")

    /** The number of tasks of each gang for which this pass holds capacity. */
    private val heldTasksByJob = HashMap<Job, Int>()

    /** Whether the autoscaler would expand a group now; set by the autoscaler. */
    var mayExpand: (GroupKey) -> Boolean = { true }

    /** Returns the number of tasks of [job] for which the last pass held capacity. */
    fun heldTasks(job: Job): Int = heldTasksByJob[job] ?: 0

    /** Free capacity for one task on [machine]; the image would be there after [fetchWaitS] seconds. */
    private class Slot(val machine: Machine, val score: Double, val fetchWaitS: Double)

    /** A machine that should be able to start a task in [freeInS] seconds, the fetch of the image included. */
    private class VacatingMachine(val machine: Machine, val freeInS: Double)

    /** Begins a placement pass and forgets what the last one held, so that no ended job is remembered. */
    fun beginPass() = heldTasksByJob.clear()

    /**
     * Places all waiting tasks of [job] or, if there is not enough free capacity for all, holds what there is.
     * [withCapacity]: the [usable] machines with free capacity for the smallest waiting task. Returns the number of
     * placed tasks.
     */
    fun place(job: Job, withCapacity: List<Machine>, usable: List<Machine>): Int {
        // All tasks of the gang's last attempt must be proven gone first.
        if (job.placements.isNotEmpty()) return 0
        if (!schedulerState.isWithinQuota(job.team, job.spec.need * job.waiting.size)) return 0
        val slots = listSlotsByScore(job, withCapacity)
        val slotsByZone: Map<String?, List<Slot>> =
            if (job.spec.oneZone) slots.groupBy { it.machine.group?.zone } else mapOf(null to slots)
        val chosen = slotsByZone.values.map { selectSlots(job, it) }
            .filter { it.size == job.waiting.size }
            .minByOrNull { complete -> complete.maxOf { it.fetchWaitS } }
        if (chosen == null) {
            holdCapacity(job, slotsByZone, usable)
            return 0
        }
        bind(job, chosen)
        return chosen.size
    }

    /** Binds each waiting task of [job] to one of the [slots], all with the same attempt number. */
    private fun bind(job: Job, slots: List<Slot>) {
        val attempt = schedulerState.newAttempt()
        job.waiting.toList().zip(slots).forEach { (task, slot) ->
            schedulerState.place(job, task, slot.machine, attempt)
        }
        job.heldZone = null
    }

    /** Returns the slots for tasks of [job], best first: at most as many on each machine as tasks wait. */
    private fun listSlotsByScore(job: Job, withCapacity: List<Machine>): List<Slot> {
        val zones = ZoneConstraint(job)
        val slots = ArrayList<Slot>()
        for (machine in withCapacity) {
            if (!capacity.isEligible(job, machine, zones)) continue
            val count = capacity.freeCapacityFor(job, machine).countFitting(job.spec.need)
            if (count <= 0) continue
            val score = capacity.score(job, machine)
            val fetchWaitS = machine.fetchWaitS(job.image, job.spec.imageGb, ctx.now)
            repeat(minOf(count, job.waiting.size)) { slots.add(Slot(machine, score, fetchWaitS)) }
        }
        return slots.sortedBy { it.score }
    }

    /** Selects the best of [slots] that the zone constraint allows together, at most one for each waiting task. */
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

    /**
     * Holds the free capacity of the zone in which the gang [job] gathers, and that of machines there which should soon
     * have capacity. Chooses the zone with the most slots if there is none yet.
     */
    private fun holdCapacity(job: Job, slotsByZone: Map<String?, List<Slot>>, usable: List<Machine>) {
        if (job.heldZone == null && !(slotsByZone.isEmpty() && job.heldSince > 0)) {
            job.heldZone = slotsByZone.maxByOrNull { it.value.size }?.key
            job.heldSince = ctx.now
            if (job.heldZone != null) log.debug("gang holds room job={} zone={}", job.spec.id, job.heldZone)
        }
        // A gang that can't be completed for long must not keep capacity from all other jobs: after the timeout it
        // holds nothing for as long again, then a zone is chosen anew.
        val timeoutS = holdTimeoutS(job)
        if (ctx.now - job.heldSince > timeoutS) {
            if (ctx.now - job.heldSince > 2 * timeoutS) job.heldZone = null
            return
        }
        val slots = selectSlots(job, slotsByZone[if (job.spec.oneZone) job.heldZone else null].orEmpty())
        slots.forEach { it.machine.heldCapacity += job.spec.need }
        val heldMachines = slots.mapTo(HashSet()) { it.machine }
        heldTasksByJob[job] =
            slots.size + holdVacatingMachines(job, usable, heldMachines, job.waiting.size - slots.size)
    }

    /**
     * Holds all free capacity, for [missingTasks] tasks, of machines that are not among [heldMachines] and should be
     * free sooner than new machines would be. Returns the number of machines held.
     */
    private fun holdVacatingMachines(
        job: Job,
        usable: List<Machine>,
        heldMachines: Set<Machine>,
        missingTasks: Int,
    ): Int {
        val zones = ZoneConstraint(job)
        val chosen = usable
            .mapNotNull { if (it in heldMachines) null else vacatingMachineOrNull(job, it, zones) }
            .sortedBy { it.freeInS }
            .take(missingTasks)
        chosen.forEach { it.machine.heldCapacity += it.machine.free }
        return chosen.size
    }

    /**
     * Returns [machine] with the time until it can start a task of [job]; null if it may not be held for the gang, the
     * time is unknown, or a new machine is likely to be there sooner.
     */
    private fun vacatingMachineOrNull(job: Job, machine: Machine, zones: ZoneConstraint): VacatingMachine? {
        val type = machine.type ?: return null
        val zone = machine.group?.zone ?: return null
        if (job.heldZone != null && zone != job.heldZone) return null
        if (!capacity.isEligible(job, machine, zones) || !job.spec.need.fitsIn(type.capacity)) return null
        if (machine.heldCapacity !== Resources.NONE || machine.reservations.isNotEmpty()) return null
        val capacityFreeInS = capacity.secondsUntilFree(job, machine) ?: return null
        val freeInS = capacityFreeInS + machine.fetchWaitS(job.image, job.spec.imageGb, ctx.now)
        return if (freeInS < maxWaitS(job, type, zone)) VacatingMachine(machine, freeInS) else null
    }

    /**
     * Returns the seconds within which capacity has to come free in [zone] to be preferred to a new machine of [type];
     * [Double.MAX_VALUE] if no new machine is to be expected.
     */
    private fun maxWaitS(job: Job, type: MachineType, zone: String): Double {
        val mayGetNewMachine = mayExpand(GroupKey(type.name, zone, false)) ||
            (job.spec.spot && mayExpand(GroupKey(type.name, zone, true)))
        val newMachineInS = type.bootS + type.fetchS(job.spec.imageGb)
        // A gang that is still incomplete when new machines should long have arrived does not wait for them again.
        val waitsForNewMachine = mayGetNewMachine && ctx.now - job.heldSince < newMachineInS
        return if (waitsForNewMachine) newMachineInS * CLEARLY_SOONER_PART else Double.MAX_VALUE
    }

    /**
     * Returns how long, in seconds, [job] may hold capacity: several times as long as new machines for it should take
     * to boot and fetch the image.
     */
    private fun holdTimeoutS(job: Job): Double = HOLD_TIMEOUT_BOOTS *
        (fleet.catalog?.types?.maxOfOrNull { it.bootS + it.fetchS(job.spec.imageGb) } ?: 0.0)

    private companion object {
        /**
         * The part of a new machine's boot and fetch time within which capacity must come free to be waited for
         * instead: estimates of run times are often too low.
         */
        const val CLEARLY_SOONER_PART = 0.5

        /** The time for which a gang may hold capacity, in boots and fetches of the slowest machine type. */
        const val HOLD_TIMEOUT_BOOTS = 4
    }
}
