package plankwall.core.queue

import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.statemachine.Context

/**
 * Estimates for how long tasks occupy their places, from the estimates of their run times and the images that machines
 * have cached.
 */
internal class TaskOccupancy(private val ctx: Context, private val fleet: Fleet) {
    /** The number of machines that have each image cached, by the image's index. */
    private var machineCountByImage = HashMap<Int, Int>()

    /** The number of machines that are not being scaled in. */
    private var fleetSize = 0

    /** Recounts the machines that have each image. */
    fun refresh() {
        machineCountByImage = HashMap()
        fleetSize = 0
        for (machine in fleet.machines) {
            if (machine.isBeingScaledIn) continue
            fleetSize++
            machine.imageCache.images.keys.forEach { machineCountByImage.merge(it, 1, Int::plus) }
        }
    }

    /**
     * Returns the seconds for which one task of [job] should occupy its place: its run time, the fetch of its image
     * weighted by the part of the machines that lack it, and half a heartbeat interval, the mean time until its worker
     * reports the end.
     */
    fun secondsOf(job: Job): Double {
        val fetchS = fleet.catalog?.types?.minOfOrNull { it.fetchS(job.spec.imageGb) } ?: 0.0
        val lackingShare =
            if (fleetSize == 0) 1.0 else 1.0 - (machineCountByImage[job.image.value] ?: 0).toDouble() / fleetSize
        return maxOf(job.spec.estimateS, MIN_RUN_S) + fetchS * lackingShare +
            ctx.settings.workers.heartbeatIntervalS / 2
    }

    private companion object {
        /** The shortest run time assumed, since an estimate may be 0. */
        const val MIN_RUN_S = 1.0
    }
}
