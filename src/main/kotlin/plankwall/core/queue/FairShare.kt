package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.model.Resources
import plankwall.model.TeamIndex

/** Fair shares of teams: a burst of one team is not to be at the cost of teams that ask for less. */
object FairShare {
    /**
     * The teams of [waiting] jobs that ask for no more than an equal part of [capacity], by what they wait for
     * ([demandOf]) and what they use ([usedBy]); with one team, none.
     */
    fun modest(
        waiting: List<Job>,
        capacity: Resources,
        demandOf: (Job) -> Resources,
        usedBy: (TeamIndex) -> Resources,
    ): Set<Int> {
        val demands = HashMap<Int, Resources>()
        for (job in waiting) demands.merge(job.team.value, demandOf(job), Resources::plus)
        if (demands.size < 2) return emptySet()
        val fairShare = 1.0 / demands.size
        return demands.filter { (team, demand) ->
            (demand + usedBy(TeamIndex(team))).partOf(capacity) <= fairShare
        }.keys
    }
}
