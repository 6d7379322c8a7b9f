package plankwall.core.placement

import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.MachineType
import plankwall.model.Resources
import plankwall.model.Shape

/**
 * The filter and the score of a placement: on which machines a task of a job may run and has room, and which of them is
 * the best. Keeps the reservations of room that is being made by preemption.
 */
class FreeCapacity(private val ctx: Context, private val fleet: Fleet) {
    private val reserved = HashMap<Job, Int>()

    /** Reservations end when their job needs them no more, or when the room did not come in time. */
    fun beginPass() {
        reserved.clear()
        for (machine in fleet.machines) {
            if (machine.held !== Resources.NONE) machine.held = Resources.NONE
            if (machine.reservations.isEmpty()) continue
            machine.reservations.removeIf { reservation ->
                val job = reservation.job
                val isOver =
                    ctx.now >= reservation.until || job.cancelled || reservedTasks(job) >= job.waiting.size
                if (!isOver) reserved.merge(job, 1, Int::plus)
                isOver
            }
        }
    }

    /** For how many tasks of [job] room is reserved. */
    fun reservedTasks(job: Job): Int = reserved[job] ?: 0

    /** Reserves room for one task of [job] on [machine] until [untilS] of the steady clock. */
    fun reserve(job: Job, machine: Machine, untilS: Double) {
        machine.reservations.add(Machine.Reservation(job, untilS))
        reserved.merge(job, 1, Int::plus)
    }

    /**
     * What tasks of [job] may take on [machine]. Room that was made for another job of no lower priority is not its
     * own, nor is what this pass has kept for a gang, which comes first in the queue.
     */
    fun freeFor(job: Job, machine: Machine): Resources {
        if (machine.reservations.isEmpty() && machine.held === Resources.NONE) return machine.free
        var free = machine.free - machine.held
        for (reservation in machine.reservations) {
            if (reservation.job !== job && reservation.job.priority >= job.priority) free -= reservation.job.spec.need
        }
        return free
    }

    /** Filter, room aside: whether a task of [job] may run on [machine]. */
    fun isEligible(job: Job, machine: Machine, zones: ZoneConstraint): Boolean = Placer.allowed(job.spec, machine) &&
        zones.allows(machine) &&
        machine.fitsReport &&
        machine.ix.value !in job.failedOn &&
        !(job.bestEffort && wouldKeep(job, machine))

    /**
     * Whether an ordinary machine could soon be scaled in but for a best-effort task put there: none of its tasks is to
     * stay. Spot machines cost a third, and beside replicas the machine stays anyway; jobs that may not use spot
     * machines have no other place.
     */
    private fun wouldKeep(job: Job, machine: Machine): Boolean = job.spec.spot &&
        machine.group?.spot == false &&
        (machine.surplus || (machine.lastingShare == 0.0 && !job.starving))

    /** Filter: whether a task of [job] may run on [machine] and has room there. */
    fun canPlace(job: Job, machine: Machine, zones: ZoneConstraint): Boolean = job.spec.need.fitsIn(machine.free) &&
        isEligible(job, machine, zones) &&
        job.spec.need.fitsIn(freeFor(job, machine))

    /** The first of [candidates] with the lowest score, of those on which a task of [job] can be placed. */
    fun best(job: Job, candidates: List<Machine>, zones: ZoneConstraint): Machine? {
        var best: Machine? = null
        var lowest = Double.MAX_VALUE
        for (machine in candidates) {
            if (!canPlace(job, machine, zones)) continue
            val score = score(job, machine)
            if (score < lowest) {
                lowest = score
                best = machine
            }
        }
        return best
    }

    /** Seconds until one task of [job] should fit on [machine], if nothing else comes; null if that is not known. */
    fun secondsUntilFree(job: Job, machine: Machine): Double? {
        var free = machine.free
        val ends = machine.placements.values
            .mapNotNull { placement -> placement.endsIn(ctx.now)?.let { it to placement.job.spec.need } }
            .sortedBy { (endsInS, _) -> endsInS }
        for ((endsInS, need) in ends) {
            free += need
            if (job.spec.need.fitsIn(free)) return endsInS
        }
        return null
    }

    /**
     * Score of [machine] for a task of [job], lower is better: seconds until the image is there, then tight fit (bin
     * packing), then spot machines for those who may use them.
     */
    fun score(job: Job, machine: Machine): Double {
        val type = machine.type ?: return Double.MAX_VALUE
        val after = machine.free - job.spec.need
        val idle = partOf(after.gpus, type.capacity.gpus) + partOf(after.cpus, type.capacity.cpus)
        val kindS = if (job.spec.spot && machine.group?.spot == false) SPOT_PREFERENCE_S else 0.0
        val waitS = machine.fetchWait(job.image, job.spec.imageGb, ctx.now)
        val surplusS = if (machine.surplus) surplusPenaltyS(job, type) else 0.0
        return waitS + machine.fetchDelay(job.image, job.spec.imageGb, ctx.now) + idle * TIGHT_FIT_S + kindS +
            surplusS + mixPenaltyS(job, machine)
    }

    /**
     * Replicas side by side leave other machines to tasks that end, and those machines can be scaled in when they have.
     * For a replica that only breaks ties: it is wanted at once, and a fetch takes longer.
     */
    private fun mixPenaltyS(job: Job, machine: Machine): Double = if (job.spec.shape == Shape.SERVICE) {
        (1.0 - machine.lastingShare) * REPLICA_TIE_S
    } else {
        machine.lastingShare * BESIDE_REPLICAS_S
    }

    /**
     * How much later a task may start so that a surplus machine runs empty: as much as another fetch costs, unless that
     * is much of what the task itself takes. Replicas are wanted at once.
     */
    private fun surplusPenaltyS(job: Job, type: MachineType): Double = if (job.spec.shape == Shape.SERVICE) {
        SURPLUS_FOR_REPLICA_S
    } else {
        minOf(type.fetchS(job.spec.imageGb) + 1.0, job.spec.estimateS * SURPLUS_RUN_PART)
    }

    private fun partOf(part: Long, whole: Long): Double = if (whole <= 0) 0.0 else part.toDouble() / whole

    /** Weights, in seconds of waiting that they are worth. */
    private companion object {
        const val TIGHT_FIT_S = 4.0
        const val BESIDE_REPLICAS_S = 6.0
        const val REPLICA_TIE_S = 1.5
        const val SURPLUS_FOR_REPLICA_S = 1.0
        const val SPOT_PREFERENCE_S = 6.0

        /** Of a task's own run. */
        const val SURPLUS_RUN_PART = 0.15
    }
}
