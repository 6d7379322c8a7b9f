package plankwall.core.placement

import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.ZoneConstraint
import java.util.PriorityQueue

/**
 * The machines for the tasks of one job within one pass, best first: the same choices as [FreeCapacity.best] for each task, but
 * the machines are looked at once for all of them. Placing a task changes only the machine that it goes to, and what
 * does not admit a task any more does not admit a later one of the same pass.
 */
class CandidateQueue(
    private val room: FreeCapacity,
    private val job: Job,
    machines: List<Machine>,
    zones: ZoneConstraint,
) {
    /** [order]: among equals the first of the list wins. */
    private class Candidate(val machine: Machine, val order: Int, val score: Double)

    private val queue = PriorityQueue(compareBy<Candidate> { it.score }.thenBy { it.order })

    init {
        machines.forEachIndexed { order, m -> if (room.admits(job, m, zones)) add(m, order) }
    }

    private fun add(m: Machine, order: Int) {
        val score = room.score(job, m)
        if (score < Double.MAX_VALUE) queue.add(Candidate(m, order, score))
    }

    fun best(zones: ZoneConstraint): Machine? {
        while (true) {
            val first = queue.peek() ?: return null
            if (room.admits(job, first.machine, zones)) return first.machine
            queue.poll()
        }
    }

    /** A task went to the machine that [best] named. */
    fun placed() {
        val taken = queue.poll()
        add(taken.machine, taken.order)
    }
}
