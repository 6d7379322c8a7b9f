package plankwall.core.placement

import plankwall.core.state.Job
import plankwall.core.state.Machine
import plankwall.core.state.ZoneConstraint
import java.util.PriorityQueue

/**
 * The machines that can take tasks of one job within one placement pass, best first. It makes the same choices as
 * [FreeCapacity.findBest] for each task, but filters and scores the machines once for all of them. This is correct
 * because placing a task changes only the machine that it goes to, and a machine that can't take a task can't take a
 * later one of the same pass either.
 */
class CandidateQueue(
    private val capacity: FreeCapacity,
    private val job: Job,
    machines: List<Machine>,
    zones: ZoneConstraint,
) {
    /**
     * A machine with its [score], lower is better. Of machines with equal scores the one with the lowest [listIndex],
     * its position in the list, wins.
     */
    private class Candidate(val machine: Machine, val listIndex: Int, val score: Double)

    private val queue = PriorityQueue(compareBy<Candidate> { it.score }.thenBy { it.listIndex })

    init {
        machines.forEachIndexed { listIndex, machine ->
            if (capacity.canPlace(job, machine, zones)) add(machine, listIndex)
        }
    }

    private fun add(machine: Machine, listIndex: Int) {
        val score = capacity.score(job, machine)
        if (score < Double.MAX_VALUE) queue.add(Candidate(machine, listIndex, score))
    }

    /**
     * Returns the best machine for the next task, or null if no machine can take it. [zones]: the zone constraint with
     * all tasks placed so far.
     */
    fun findBest(zones: ZoneConstraint): Machine? {
        while (true) {
            val candidate = queue.peek() ?: return null
            if (capacity.canPlace(job, candidate.machine, zones)) return candidate.machine
            queue.poll()
        }
    }

    /** Recomputes the score of the machine that [findBest] returned last; to be called once a task was placed on it. */
    fun onPlaced() {
        val candidate = queue.remove()
        add(candidate.machine, candidate.listIndex)
    }
}
