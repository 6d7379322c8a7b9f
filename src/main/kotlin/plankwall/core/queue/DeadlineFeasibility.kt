package plankwall.core.queue

import java.util.PriorityQueue

/**
 * What waits of one job, as seen by a pool of room that is used up one job after the other: [workS] seconds of the
 * whole pool, to be over [dueS] seconds from now for the job's aim to be met.
 */
class PendingWork<J>(val job: J, val workS: Double, val dueS: Double)

/**
 * Which of many jobs can still be served in time when not all can: as many as possible. The rule is Moore and Hodgson's
 * for the number of late jobs ("An n job, one machine sequencing algorithm for minimizing the number of late jobs",
 * 1968): take them by the time at which they are due, and whenever one would be late, leave out the largest taken so
 * far. With everything in time nothing is left out.
 */
object DeadlineFeasibility {
    /**
     * Those of [lots] to be served, by the time at which they are due, if the pool is busy for [loadS] seconds before.
     */
    fun <J> choose(lots: List<PendingWork<J>>, loadS: Double): List<PendingWork<J>> {
        val largest =
            PriorityQueue<PendingWork<J>>(compareByDescending<PendingWork<J>> { it.workS }.thenByDescending { it.dueS })
        val left = HashSet<PendingWork<J>>()
        var sum = loadS
        val byDue = lots.sortedBy { it.dueS }
        for (lot in byDue) {
            largest.add(lot)
            sum += lot.workS
            if (sum > lot.dueS) {
                largest.poll().let {
                    left.add(it)
                    sum -= it.workS
                }
            }
        }
        return byDue.filter { it !in left }
    }
}
