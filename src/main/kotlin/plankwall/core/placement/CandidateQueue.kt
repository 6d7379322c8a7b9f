package plankwall.core.placement

import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.ZoneConstraint
import java.util.PriorityQueue

/**
 * The machines for the tasks of one job within one pass, best first: the same choices as [FreeCapacity.best] for each
 * task, but the machines are filtered and scored once for all of them. Placing a task changes only the machine that it
 * goes to, and a machine that can't take a task any more can't take a later one of the same pass.
 */
class CandidateQueue(
    private val capacity: FreeCapacity,
    private val job: Job,
    machines: List<Machine>,
    zones: ZoneConstraint,
) {
    /** [order]: among equals the first of the list wins. */
    private class Candidate(val machine: Machine, val order: Int, val score: Double)

    private val queue = PriorityQueue(compareBy<Candidate> { it.score }.thenBy { it.order })

    init {
        machines.forEachIndexed { order, machine -> if (capacity.canPlace(job, machine, zones)) add(machine, order) }
    }

    private fun add(machine: Machine, order: Int) {
        val score = capacity.score(job, machine)
        if (score < Double.MAX_VALUE) queue.add(Candidate(machine, order, score))
    }

    /** The best machine for the next task, or null if no machine can take it. */
    fun best(zones: ZoneConstraint): Machine? {
        while (true) {
            val first = queue.peek() ?: return null
            if (capacity.canPlace(job, first.machine, zones)) return first.machine
            queue.poll()
        }
    }

    /** A task was placed on the machine that [best] returned last. */
    fun onPlaced() {
        val candidate = queue.remove()
        add(candidate.machine, candidate.order)
    }
}
