package plankwall.core.placement

import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.Shape

/**
 * Machines that have an image cached and should soon have room. Where fetching takes as long as running, a task starts
 * no later if it waits for such a machine instead of fetching the image once more beside it, and the fleet costs less.
 * Replicas are wanted at once, and how long the tasks on their machines run is not known.
 */
class CachedImageCapacity(private val ctx: Context, private val capacity: FreeCapacity) {
    private val promised = HashSet<Machine>()
    private val waiting = HashSet<Job>()

    /** Forgets what the last pass promised. */
    fun beginPass() {
        promised.clear()
        waiting.clear()
    }

    /** Whether tasks of [job] that have room are kept waiting in this pass. */
    fun keepsWaiting(job: Job): Boolean = job in waiting

    /**
     * Whether one of [usable] machines with the image of [job] should have room clearly sooner than [machine] would
     * have the image. If so, that room is promised to one task.
     */
    fun comesSooner(job: Job, machine: Machine, usable: List<Machine>, zones: ZoneConstraint): Boolean {
        if (job.spec.shape == Shape.SERVICE) return false
        val limitS = machine.fetchWait(job.image, job.spec.imageGb, ctx.now) * CLEARLY_SOONER_PART
        val waitedS = (ctx.time.wallMs - job.readyMs) / 1000.0
        if (limitS < MIN_GAIN_S || waitedS >= limitS) return false
        val soonest = soonestFree(job, usable, zones, limitS - waitedS) ?: return false
        promised.add(soonest)
        waiting.add(job)
        return true
    }

    private fun soonestFree(job: Job, usable: List<Machine>, zones: ZoneConstraint, limitS: Double): Machine? {
        var soonest: Machine? = null
        var soonestS = limitS
        for (machine in usable) {
            val cached = machine.images[job.image.value] ?: continue
            if (cached.readyAt > ctx.now || machine in promised || machine.surplus) continue
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
        /** Estimates are often too low, so what should come must come in this part of the fetch's time. */
        const val CLEARLY_SOONER_PART = 0.5
        const val MIN_GAIN_S = 4.0
    }
}
