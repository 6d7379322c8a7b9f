package plankwall.core.placement

import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.ZoneConstraint
import plankwall.core.statemachine.Context
import plankwall.model.Shape

/**
 * Machines that hold an image and should soon have room. Where fetching takes as long as running, a task is better off
 * waiting a little for such a machine than fetching once more beside it, and so is the bill. Replicas are wanted at
 * once, and their machines' tasks of unknown length promise nothing.
 */
class CachedImageCapacity(private val ctx: Context, private val room: FreeCapacity) {
    private val promised = HashSet<Machine>()
    private val holding = HashSet<Job>()

    fun beginPass() {
        promised.clear()
        holding.clear()
    }

    /** Whether tasks of [job] that have room are kept waiting in this pass. */
    fun holds(job: Job): Boolean = job in holding

    /** Whether a machine with the image should have room clearly sooner than [m] would have the image. */
    fun comesSooner(job: Job, m: Machine, usable: List<Machine>, zones: ZoneConstraint): Boolean {
        if (job.spec.shape == Shape.SERVICE) return false
        val limit = m.fetchWait(job.image, job.spec.imageGb, ctx.now) * SURELY_SOONER
        val waitedS = (ctx.time.wallMs - job.readyMs) / 1000.0
        if (limit < WORTH_S || waitedS >= limit) return false
        var found: Machine? = null
        var soonest = limit - waitedS
        for (w in usable) {
            val cached = w.images[job.image.value] ?: continue
            if (cached.readyAt > ctx.now || w in promised || w.surplus || !room.suits(job, w, zones)) continue
            val sooner = room.roomIn(job, w) ?: continue
            if (sooner < soonest) {
                soonest = sooner
                found = w
            }
        }
        if (found == null) return false
        promised.add(found)
        holding.add(job)
        return true
    }

    private companion object {
        /** Estimates are often too low, so what should come must come in half the time. */
        const val SURELY_SOONER = 0.5
        const val WORTH_S = 4.0
    }
}
