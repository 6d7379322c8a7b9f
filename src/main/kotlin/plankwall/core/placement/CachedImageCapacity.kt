package plankwall.core.placement

import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.Shape

/**
 * Decides whether a task waits for a machine that has its image cached, although another machine has free capacity. A
 * task waits if the machine with the image should have free capacity clearly sooner than the other machine would have
 * fetched the image. Where a fetch takes as long as running the task, the task then starts no later than it would with
 * a fetch, and the fleet costs less. Tasks of service jobs never wait: their replicas are needed at once, and it is not
 * known how long the tasks on the machines with their images still run.
 */
class CachedImageCapacity(private val ctx: Context, private val capacity: FreeCapacity) {
    /** Machines whose next free capacity the current pass has promised to a waiting task. */
    private val promisedMachines = HashSet<Machine>()

    /** Jobs with a task that the current pass keeps waiting for a promised machine. */
    private val jobsKeptWaiting = HashSet<Job>()

    /** Begins a placement pass and forgets what the last one promised. */
    fun beginPass() {
        promisedMachines.clear()
        jobsKeptWaiting.clear()
    }

    /**
     * Whether this pass keeps a task of [job] waiting for a machine with its image although another machine has free
     * capacity.
     */
    fun keepsWaiting(job: Job): Boolean = job in jobsKeptWaiting

    /**
     * Looks among the usable [machines] for one that has the image of [job] cached and should have free capacity
     * clearly sooner than [otherMachine], on which the task would otherwise be placed, would have fetched the image. If
     * there is one, promises it to one task of [job] and returns true: that task is to wait.
     */
    fun promiseSoonerMachine(job: Job, otherMachine: Machine, machines: List<Machine>, zones: ZoneConstraint): Boolean {
        if (job.spec.shape == Shape.SERVICE) return false
        val limitS = otherMachine.imageCache.fetchWaitS(job.image, job.spec.imageGb, ctx.now) * MAX_WAIT_PER_FETCH_TIME
        val waitedS = (ctx.time.wallMs - job.readyMs) / 1000.0
        if (limitS < MIN_WAIT_LIMIT_S || waitedS >= limitS) return false
        val soonest = findSoonestFree(job, machines, zones, limitS - waitedS) ?: return false
        promisedMachines.add(soonest)
        jobsKeptWaiting.add(job)
        return true
    }

    /**
     * Returns the one of the usable [machines] that should have free capacity for a task of [job] first, among those
     * that have its image cached and are not promised to another task; null if none should within [limitS] seconds.
     */
    private fun findSoonestFree(job: Job, machines: List<Machine>, zones: ZoneConstraint, limitS: Double): Machine? {
        var soonest: Machine? = null
        var soonestS = limitS
        for (machine in machines) {
            val cached = machine.imageCache.images[job.image.value] ?: continue
            if (cached.readyAt > ctx.now || machine in promisedMachines || machine.surplus) continue
            if (!capacity.isEligible(job, machine, zones)) continue
            val freeInS = capacity.secondsUntilFree(job, machine) ?: continue
            if (freeInS < soonestS) {
                soonestS = freeInS
                soonest = machine
            }
        }
        return soonest
    }

    private companion object {
        /**
         * The longest wait for free capacity on a machine with the image, as a share of the time in which the other
         * machine would fetch the image. Well below 1, because estimates of run times are often too low.
         */
        const val MAX_WAIT_PER_FETCH_TIME = 0.5

        /**
         * The least value, in seconds, that the longest permitted wait must have for a task to wait at all. Below it
         * the image is fetched so fast that waiting would gain little, so the task fetches it at once.
         */
        const val MIN_WAIT_LIMIT_S = 4.0
    }
}
