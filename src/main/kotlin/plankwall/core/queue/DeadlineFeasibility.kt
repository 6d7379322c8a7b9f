package plankwall.core.queue

import java.util.PriorityQueue

/**
 * What waits of one job, as seen by a pool of room that is used up one job after the other: [workS] seconds of the
 * whole pool, to be over [dueS] seconds from now for the job to meet its objective.
 */
class PendingWork<J>(val job: J, val workS: Double, val dueS: Double)

/**
 * Which of many jobs can still be served in time when not all can: as many as possible. The rule is Moore and Hodgson's
 * for the number of late jobs ("An n job, one machine sequencing algorithm for minimizing the number of late jobs",
 * 1968): take them by the time at which they are due, and whenever one would be late, leave out the largest taken so
 * far. With everything in time nothing is left out.
 */
object DeadlineFeasibility {
    /** Those of [works] to be served, by the time at which they are due, if the pool is busy for [busyS] before. */
    fun <J> choose(works: List<PendingWork<J>>, busyS: Double): List<PendingWork<J>> {
        val largestFirst =
            PriorityQueue<PendingWork<J>>(compareByDescending<PendingWork<J>> { it.workS }.thenByDescending { it.dueS })
        val leftOut = HashSet<PendingWork<J>>()
        var sumS = busyS
        val byDue = works.sortedBy { it.dueS }
        for (work in byDue) {
            largestFirst.add(work)
            sumS += work.workS
            if (sumS > work.dueS) {
                val largest = largestFirst.remove()
                leftOut.add(largest)
                sumS -= largest.workS
            }
        }
        return byDue.filter { it !in leftOut }
    }
}
