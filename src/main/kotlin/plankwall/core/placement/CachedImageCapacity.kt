package plankwall.core.placement

import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.Shape

/**
 * Machines that have an image in their cache and should soon have free capacity. Where fetching an image takes as long
 * as running the task, a task that waits for such a machine starts no later than one that fetches the image onto
 * another machine, and the fleet costs less. Service jobs never wait: their replicas are needed at once, and how long
 * the tasks on the machines with their images still run is not known.
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
     * Looks among the [usable] machines for one that has the image of [job] cached and should have free capacity
     * clearly sooner than [machine] would have fetched the image. If there is one, promises it to one task of [job] and
     * returns true: that task is to wait.
     */
    fun promiseSoonerMachine(job: Job, machine: Machine, usable: List<Machine>, zones: ZoneConstraint): Boolean {
        if (job.spec.shape == Shape.SERVICE) return false
        val limitS = machine.fetchWaitS(job.image, job.spec.imageGb, ctx.now) * CLEARLY_SOONER_PART
        val waitedS = (ctx.time.wallMs - job.readyMs) / 1000.0
        if (limitS < MIN_GAIN_S || waitedS >= limitS) return false
        val soonest = findSoonestFree(job, usable, zones, limitS - waitedS) ?: return false
        promisedMachines.add(soonest)
        jobsKeptWaiting.add(job)
        return true
    }

    /**
     * Returns the machine with the image of [job] that should have free capacity first, if that is within [limitS]
     * seconds and no other task was promised it; otherwise null.
     */
    private fun findSoonestFree(job: Job, usable: List<Machine>, zones: ZoneConstraint, limitS: Double): Machine? {
        var soonest: Machine? = null
        var soonestS = limitS
        for (machine in usable) {
            val cached = machine.images[job.image.value] ?: continue
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
         * The part of the fetch time within which capacity must come free: estimates of run times are often too low.
         */
        const val CLEARLY_SOONER_PART = 0.5

        /**
         * The shortest limit of the wait, in seconds, for which a task waits at all. With a shorter limit it fetches
         * the image at once, since waiting would gain little.
         */
        const val MIN_GAIN_S = 4.0
    }
}
