package plankwall.core.queue

import plankwall.core.state.Job
import plankwall.model.Resources
import plankwall.model.TeamIndex

/** Fair shares of teams: many jobs of one team must not delay the jobs of teams that ask for less. */
object FairShare {
    /**
     * Returns the indices of those teams of the [waiting] jobs that use ([usedBy]) and wait for ([demandOf]) no more
     * than an equal part of [capacity]; none if only one team has waiting jobs.
     */
    fun teamsWithinFairShare(
        waiting: List<Job>,
        capacity: Resources,
        demandOf: (Job) -> Resources,
        usedBy: (TeamIndex) -> Resources,
    ): Set<Int> {
        val demandByTeam = HashMap<Int, Resources>()
        for (job in waiting) demandByTeam.merge(job.team.value, demandOf(job), Resources::plus)
        if (demandByTeam.size < 2) return emptySet()
        val fairShare = 1.0 / demandByTeam.size
        return demandByTeam.filter { (teamIndex, demand) ->
            (demand + usedBy(TeamIndex(teamIndex))).dominantShareOf(capacity) <= fairShare
        }.keys
    }
}
