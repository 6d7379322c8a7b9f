package plankwall.core.queue

import java.util.PriorityQueue

/**
 * The waiting work of one job, as seen by a pool of capacity that serves one job after the other: it takes [workS]
 * seconds of the whole pool and must end within [dueS] seconds from now for the job to meet its objective.
 */
class PendingWork<J>(val job: J, val workS: Double, val dueS: Double)

/**
 * Selects the jobs to complete in time when not all can be: as many jobs as possible. It uses the algorithm of Moore
 * and Hodgson for the smallest number of late jobs ("An n job, one machine sequencing algorithm for minimizing the
 * number of late jobs", 1968): take the jobs in the order of their due times, and whenever one would be late, leave out
 * the largest taken so far. If all jobs can be in time, none is left out.
 */
object DeadlineFeasibility {
    /**
     * Returns those of [works] that can end in time, in the order of their due times, if the pool is busy with other
     * work for the first [busyS] seconds.
     */
    fun <J> selectFeasible(works: List<PendingWork<J>>, busyS: Double): List<PendingWork<J>> {
        val largestFirst =
            PriorityQueue<PendingWork<J>>(compareByDescending<PendingWork<J>> { it.workS }.thenByDescending { it.dueS })
        val leftOut = HashSet<PendingWork<J>>()
        var scheduledUntilS = busyS
        val byDue = works.sortedBy { it.dueS }
        for (work in byDue) {
            largestFirst.add(work)
            scheduledUntilS += work.workS
            if (scheduledUntilS > work.dueS) {
                val largest = largestFirst.remove()
                leftOut.add(largest)
                scheduledUntilS -= largest.workS
            }
        }
        return byDue.filter { it !in leftOut }
    }
}
