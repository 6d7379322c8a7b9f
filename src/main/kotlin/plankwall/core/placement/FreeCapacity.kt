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
 * The filter and the score of a placement: on which machines a task of a job may run and has enough free capacity, and
 * which of them is the best. Keeps the reservations of capacity that is being freed by preemption.
 */
class FreeCapacity(private val ctx: Context, private val fleet: Fleet) {
    /** The number of tasks of each job for which capacity is reserved. */
    private val reservedTasksByJob = HashMap<Job, Int>()

    /**
     * Begins a placement pass: forgets what was held for gangs, and ends the reservations that have timed out, those of
     * cancelled jobs, and those that exceed the number of the job's waiting tasks.
     */
    fun beginPass() {
        reservedTasksByJob.clear()
        for (machine in fleet.machines) {
            machine.endHold()
            if (machine.reservations.isEmpty()) continue
            machine.reservations.removeIf { reservation ->
                val job = reservation.job
                val isOver =
                    ctx.now >= reservation.until || job.cancelled || reservedTasks(job) >= job.waiting.size
                if (!isOver) reservedTasksByJob.merge(job, 1, Int::plus)
                isOver
            }
        }
    }

    /** Returns the number of tasks of [job] for which capacity is reserved. */
    fun reservedTasks(job: Job): Int = reservedTasksByJob[job] ?: 0

    /** Reserves capacity for one task of [job] on [machine] until [untilS], in seconds of the monotonic clock. */
    fun reserve(job: Job, machine: Machine, untilS: Double) {
        machine.reservations.add(Machine.Reservation(job, untilS))
        reservedTasksByJob.merge(job, 1, Int::plus)
    }

    /**
     * Returns the capacity of [machine] that tasks of [job] may take. It excludes capacity reserved for other jobs of
     * the same or a higher priority, and capacity that this pass holds for a gang, since a gang that holds capacity
     * comes earlier in the queue.
     */
    fun freeCapacityFor(job: Job, machine: Machine): Resources {
        if (machine.reservations.isEmpty() && machine.heldCapacity === Resources.NONE) return machine.free
        var free = machine.free - machine.heldCapacity
        for (reservation in machine.reservations) {
            if (reservation.job !== job && reservation.job.priority >= job.priority) free -= reservation.job.spec.need
        }
        return free
    }

    /** Returns how many tasks of [job] fit on [machine] beside what is reserved for other jobs and held for gangs. */
    fun countFitting(job: Job, machine: Machine): Int =
        countFitting(job, freeCapacityFor(job, machine), machine.unheldHeartbeatBytes)

    /** Returns how many tasks of [job] fit on [machine] if what is reserved and held counts as free. */
    fun countFittingWithHeld(job: Job, machine: Machine): Int =
        countFitting(job, machine.free, machine.freeHeartbeatBytes)

    private fun countFitting(job: Job, free: Resources, heartbeatBytes: Int): Int =
        minOf(free.countFitting(job.spec.need), heartbeatBytes / job.heartbeatBytesPerTask)

    /** Whether a task of [job] may run on [machine], free capacity aside. */
    fun isEligible(job: Job, machine: Machine, zones: ZoneConstraint): Boolean = Placer.isAllowed(job.spec, machine) &&
        zones.allows(machine) &&
        machine.freeHeartbeatBytes >= job.heartbeatBytesPerTask &&
        !job.failedMachines.isAvoided(machine.index, ctx.now) &&
        !(job.bestEffort && wouldDelayScaleIn(job, machine))

    /**
     * Whether a task of the best-effort [job] would keep [machine] from being scaled in. This holds for an on-demand
     * machine that is surplus or that runs no replicas: a machine with replicas stays anyway. The job can run on spot
     * machines instead, which cost a third; a job that may not use them has no other place, and a starving job may use
     * any machine that is not surplus.
     */
    private fun wouldDelayScaleIn(job: Job, machine: Machine): Boolean = job.spec.spot &&
        machine.group?.spot == false &&
        (machine.surplus || (machine.serviceShare == 0.0 && !job.starving))

    /** Whether a task of [job] may run on [machine] and there is enough free capacity for it. */
    fun canPlace(job: Job, machine: Machine, zones: ZoneConstraint): Boolean = job.spec.need.fitsIn(machine.free) &&
        isEligible(job, machine, zones) &&
        machine.unheldHeartbeatBytes >= job.heartbeatBytesPerTask &&
        job.spec.need.fitsIn(freeCapacityFor(job, machine))

    /**
     * Returns the machine with the lowest score of those [candidates] on which a task of [job] can be placed, the first
     * one among equals; null if there is none.
     */
    fun findBest(job: Job, candidates: List<Machine>, zones: ZoneConstraint): Machine? {
        var best: Machine? = null
        var lowestScore = Double.MAX_VALUE
        for (machine in candidates) {
            if (!canPlace(job, machine, zones)) continue
            val score = score(job, machine)
            if (score < lowestScore) {
                lowestScore = score
                best = machine
            }
        }
        return best
    }

    /**
     * Returns the seconds until one task of [job] should fit on [machine] if no other task is placed there; null if
     * that is not known.
     */
    fun secondsUntilFree(job: Job, machine: Machine): Double? {
        var free = machine.free
        val expectedEnds = machine.placements.values
            .mapNotNull { placement -> placement.secondsUntilEnd(ctx.now)?.let { it to placement.job.spec.need } }
            .sortedBy { (endsInS, _) -> endsInS }
        for ((endsInS, need) in expectedEnds) {
            free += need
            if (job.spec.need.fitsIn(free)) return endsInS
        }
        return null
    }

    /**
     * Returns the score of [machine] for a task of [job], in seconds of waiting; lower is better. It adds up the time
     * until the image is on the machine, the delay of other tasks' fetches, the capacity that would stay idle (bin
     * packing), and penalties for on-demand machines if the job may use spot machines, for surplus machines, and for
     * mixing replicas with tasks that end.
     */
    fun score(job: Job, machine: Machine): Double {
        val type = machine.type ?: return Double.MAX_VALUE
        val remaining = machine.free - job.spec.need
        val idleShare = shareOf(remaining.gpus, type.capacity.gpus) + shareOf(remaining.cpus, type.capacity.cpus)
        val spotPreferenceS = if (job.spec.spot && machine.group?.spot == false) SPOT_PREFERENCE_S else 0.0
        val fetchWaitS = machine.imageCache.fetchWaitS(job.image, job.spec.imageGb, ctx.now)
        val surplusS = if (machine.surplus) surplusPenaltyS(job, type) else 0.0
        return fetchWaitS + machine.imageCache.fetchDelayS(job.image, job.spec.imageGb, ctx.now) +
            idleShare * TIGHT_FIT_WEIGHT_S + spotPreferenceS + surplusS + replicaMixPenaltyS(job, machine)
    }

    /**
     * Returns the penalty for running replicas beside tasks that end. Replicas packed together leave other machines to
     * tasks that end, and those machines can be scaled in afterwards. For a replica the penalty only breaks ties: it is
     * needed at once, and a fetch takes longer.
     */
    private fun replicaMixPenaltyS(job: Job, machine: Machine): Double = if (job.spec.shape == Shape.SERVICE) {
        (1.0 - machine.serviceShare) * REPLICA_TIE_BREAK_S
    } else {
        machine.serviceShare * BESIDE_REPLICAS_PENALTY_S
    }

    /**
     * Returns the penalty for a surplus machine: how much later a task may start so that the machine runs empty. It is
     * the time of fetching the image onto another machine, but at most a part of the task's estimated run time. For a
     * replica it is small, since replicas are needed at once.
     */
    private fun surplusPenaltyS(job: Job, type: MachineType): Double = if (job.spec.shape == Shape.SERVICE) {
        REPLICA_SURPLUS_PENALTY_S
    } else {
        minOf(type.fetchS(job.spec.imageGb) + 1.0, job.spec.estimateS * MAX_SURPLUS_PENALTY_PART)
    }

    private fun shareOf(amount: Long, total: Long): Double = if (total <= 0) 0.0 else amount.toDouble() / total

    /** The weights of the score, in seconds of waiting that they are worth. */
    private companion object {
        /** The penalty for a machine whose GPUs would all stay idle, and the same for its CPUs. */
        const val TIGHT_FIT_WEIGHT_S = 4.0

        /** The penalty for a task that ends, on a machine full of replicas. */
        const val BESIDE_REPLICAS_PENALTY_S = 6.0

        /** The penalty for a replica, on a machine without replicas. */
        const val REPLICA_TIE_BREAK_S = 1.5

        /** The penalty for a replica, on a surplus machine. */
        const val REPLICA_SURPLUS_PENALTY_S = 1.0

        /** The penalty for an on-demand machine, if the job may use spot machines. */
        const val SPOT_PREFERENCE_S = 6.0

        /** The largest penalty for a surplus machine, as a share of the task's estimated run time. */
        const val MAX_SURPLUS_PENALTY_PART = 0.15
    }
}
