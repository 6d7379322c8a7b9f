package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.model.Resources
import plankwall.model.TeamIndex

/** Which teams ask for no more than an equal part of what there is: a burst of one is not to be at their cost. */
object FairShare {
    /** Of the teams of [waiting] jobs those for which an equal part of [all] is enough; with one team, none. */
    fun modest(
        waiting: List<Job>,
        all: Resources,
        demandOf: (Job) -> Resources,
        usedBy: (TeamIndex) -> Resources,
    ): Set<Int> {
        val wants = HashMap<Int, Resources>()
        for (job in waiting) wants.merge(job.team.value, demandOf(job), Resources::plus)
        if (wants.size < 2) return emptySet()
        return wants.filter { (team, want) -> (want + usedBy(TeamIndex(team))).partOf(all) <= 1.0 / wants.size }.keys
    }
}
