package plankwall.core.queue

import plankwall.core.state.Fleet
import plankwall.core.state.Job
import plankwall.core.statemachine.Context

/** How long tasks should hold their places, by their estimates and by the images that machines have. */
internal class TaskOccupancy(private val ctx: Context, private val fleet: Fleet) {
    private var machinesByImage = HashMap<Int, Int>()
    private var fleetSize = 0

    /** Counts anew which machines have which image. */
    fun refresh() {
        machinesByImage = HashMap()
        fleetSize = 0
        for (machine in fleet.machines) {
            if (machine.returning) continue
            fleetSize++
            machine.images.keys.forEach { machinesByImage.merge(it, 1, Int::plus) }
        }
    }

    /**
     * Seconds for which one task of [job] should hold its place: its run, the fetch of its image as far as machines
     * lack it, and the time until its worker has reported the end.
     */
    fun secondsOf(job: Job): Double {
        val fetchS = fleet.catalog?.types?.minOfOrNull { it.fetchS(job.spec.imageGb) } ?: 0.0
        val lacking =
            if (fleetSize == 0) 1.0 else 1.0 - (machinesByImage[job.image.value] ?: 0).toDouble() / fleetSize
        return maxOf(job.spec.estimateS, MIN_RUN_S) + fetchS * lacking + ctx.settings.workers.reportS / 2
    }

    private companion object {
        /** Estimates may be nothing at all. */
        const val MIN_RUN_S = 1.0
    }
}
