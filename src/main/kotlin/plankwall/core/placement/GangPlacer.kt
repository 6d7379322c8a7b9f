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
 * capacity of one zone is held for it from pass to pass, or that of all zones if its tasks need not be in one zone.
 * Otherwise smaller tasks would take each part of it as it becomes free, and the gang might never find enough at once.
 */
class GangPlacer(
    private val ctx: Context,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
    private val capacity: FreeCapacity,
) {
    private val log = LoggerFactory.getLogger("placement")

    /** The number of tasks for which this pass holds capacity, by gang. */
    private val tasksWithHeldCapacityByJob = HashMap<Job, Int>()

    /** Whether the autoscaler would expand a group now; set by the autoscaler. */
    var mayExpand: (GroupKey) -> Boolean = { true }

    /** Returns the number of tasks of [job] for which the last pass held capacity. */
    fun tasksWithHeldCapacity(job: Job): Int = tasksWithHeldCapacityByJob[job] ?: 0

    /**
     * Free capacity for one task on [machine], where the image would be there after [fetchWaitS] seconds. [score]: the
     * score of the machine by [FreeCapacity.score]; lower is better.
     */
    private class Slot(val machine: Machine, val score: Double, val fetchWaitS: Double)

    /**
     * A machine whose tasks should end soon. [canStartInS]: the seconds until it should be able to start a task of the
     * gang, including the fetch of the image.
     */
    private class VacatingMachine(val machine: Machine, val canStartInS: Double)

    /** Begins a placement pass and forgets what the last one held, so that no ended job is remembered. */
    fun beginPass() = tasksWithHeldCapacityByJob.clear()

    /**
     * Places all waiting tasks of [job] or, if there is not enough free capacity for all of them, holds the free
     * capacity that there is. Returns the number of placed tasks.
     *
     * @param machinesWithCapacity those of the [usableMachines] that had free capacity for the smallest needs of the
     * waiting tasks of all pending jobs when the pass began
     */
    fun place(job: Job, machinesWithCapacity: List<Machine>, usableMachines: List<Machine>): Int {
        // A new attempt begins only when every task of the last attempt is proven to run no more.
        if (job.placements.isNotEmpty()) return 0
        if (!schedulerState.isWithinQuota(job.team, job.spec.need * job.waiting.size)) return 0
        val slots = listSlotsByScore(job, machinesWithCapacity)
        val slotsByZone: Map<String?, List<Slot>> =
            if (job.spec.oneZone) slots.groupBy { it.machine.group?.zone } else mapOf(null to slots)
        val chosen = slotsByZone.values.map { selectSlots(job, it) }
            .filter { it.size == job.waiting.size }
            .minByOrNull { complete -> complete.maxOf { it.fetchWaitS } }
        if (chosen == null) {
            holdCapacity(job, slotsByZone, usableMachines)
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
    private fun listSlotsByScore(job: Job, machinesWithCapacity: List<Machine>): List<Slot> {
        val zones = ZoneConstraint(job)
        val slots = ArrayList<Slot>()
        for (machine in machinesWithCapacity) {
            if (!capacity.isEligible(job, machine, zones)) continue
            val count = capacity.countFitting(job, machine)
            if (count <= 0) continue
            val score = capacity.score(job, machine)
            val fetchWaitS = machine.imageCache.fetchWaitS(job.image, job.spec.imageGb, ctx.now)
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
     * Holds free capacity for the gang [job] in [Job.heldZone], and machines there that should soon have free capacity.
     * If no zone is chosen yet, chooses the one with the most slots. A gang whose tasks may be in several zones has no
     * such zone: capacity is held for it in all zones.
     */
    private fun holdCapacity(job: Job, slotsByZone: Map<String?, List<Slot>>, usableMachines: List<Machine>) {
        if (job.heldZone == null && !(slotsByZone.isEmpty() && job.heldSince > 0)) {
            job.heldZone = slotsByZone.maxByOrNull { it.value.size }?.key
            job.heldSince = ctx.now
            if (job.heldZone != null) log.debug("gang holds room job={} zone={}", job.spec.id, job.heldZone)
        }
        // A gang that stays incomplete for a long time must not keep capacity from all other jobs: after the timeout
        // it holds nothing for as long again, then a zone is chosen anew.
        val timeoutS = holdTimeoutS(job)
        if (ctx.now - job.heldSince > timeoutS) {
            if (ctx.now - job.heldSince > 2 * timeoutS) job.heldZone = null
            return
        }
        val slots = selectSlots(job, slotsByZone[if (job.spec.oneZone) job.heldZone else null].orEmpty())
        slots.forEach { it.machine.hold(job.spec.need, job.heartbeatBytesPerTask) }
        val heldMachines = slots.mapTo(HashSet()) { it.machine }
        tasksWithHeldCapacityByJob[job] =
            slots.size + holdVacatingMachines(job, usableMachines, heldMachines, job.waiting.size - slots.size)
    }

    /**
     * Holds machines that are not among [heldMachines] and should be able to start a task of [job] sooner than a new
     * machine could: up to one for each of the [missingTasks] tasks that have no slot yet, and all free capacity of
     * each. Returns the number of machines held.
     */
    private fun holdVacatingMachines(
        job: Job,
        usableMachines: List<Machine>,
        heldMachines: Set<Machine>,
        missingTasks: Int,
    ): Int {
        val zones = ZoneConstraint(job)
        val chosen = usableMachines
            .mapNotNull { if (it in heldMachines) null else vacatingMachineOrNull(job, it, zones) }
            .sortedBy { it.canStartInS }
            .take(missingTasks)
        chosen.forEach { it.machine.hold(it.machine.free, it.machine.freeHeartbeatBytes) }
        return chosen.size
    }

    /**
     * Returns [machine] with the time until it should be able to start a task of [job]; null if it may not be held for
     * the gang, if the time is unknown, or if it is not clearly shorter than a new machine would need.
     */
    private fun vacatingMachineOrNull(job: Job, machine: Machine, zones: ZoneConstraint): VacatingMachine? {
        val type = machine.type ?: return null
        val zone = machine.group?.zone ?: return null
        if (job.heldZone != null && zone != job.heldZone) return null
        if (!capacity.isEligible(job, machine, zones) || !job.spec.need.fitsIn(type.capacity)) return null
        if (machine.heldCapacity !== Resources.NONE || machine.reservations.isNotEmpty()) return null
        val capacityFreeInS = capacity.secondsUntilFree(job, machine) ?: return null
        val canStartInS = capacityFreeInS + machine.imageCache.fetchWaitS(job.image, job.spec.imageGb, ctx.now)
        return if (canStartInS < maxWaitS(job, type, zone)) VacatingMachine(machine, canStartInS) else null
    }

    /**
     * Returns the seconds within which a machine in [zone] must be able to start a task of [job] to be preferred to a
     * new machine of [type]; [Double.MAX_VALUE] if no new machine is to be expected.
     */
    private fun maxWaitS(job: Job, type: MachineType, zone: String): Double {
        val mayGetNewMachine = mayExpand(GroupKey(type.name, zone, false)) ||
            (job.spec.spot && mayExpand(GroupKey(type.name, zone, true)))
        val newMachineInS = type.bootS + type.fetchS(job.spec.imageGb)
        // A gang that is still incomplete when new machines should long have arrived does not wait for them again.
        val waitsForNewMachine = mayGetNewMachine && ctx.now - job.heldSince < newMachineInS
        return if (waitsForNewMachine) newMachineInS * MAX_WAIT_PER_NEW_MACHINE_TIME else Double.MAX_VALUE
    }

    /**
     * Returns how long, in seconds, [job] may hold capacity: several times as long as a new machine of the slowest type
     * should take to boot and fetch the image.
     */
    private fun holdTimeoutS(job: Job): Double = HOLD_TIMEOUT_NEW_MACHINE_TIMES *
        (fleet.catalog?.types?.maxOfOrNull { it.bootS + it.fetchS(job.spec.imageGb) } ?: 0.0)

    private companion object {
        /**
         * The longest time after which a machine in use must be able to start a task to be held in place of a new
         * machine, as a share of the time in which the new machine would boot and fetch the image. Well below 1,
         * because estimates of run times are often too low.
         */
        const val MAX_WAIT_PER_NEW_MACHINE_TIME = 0.5

        /**
         * The time for which a gang may hold capacity, as a multiple of the time in which a new machine of the slowest
         * type boots and fetches the image.
         */
        const val HOLD_TIMEOUT_NEW_MACHINE_TIMES = 4
    }
}
