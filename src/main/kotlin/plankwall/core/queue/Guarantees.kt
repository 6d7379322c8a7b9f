package plankwall.core.queue

import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.model.Resources

/** Marks the jobs that their teams' guarantees cover ([Job.guaranteed]). */
internal class Guarantees(private val ctx: Context, private val schedulerState: SchedulerState) {
    /** The time at which the marks were last set, in seconds of the monotonic clock. */
    private var refreshedAt = Machine.NEVER

    /** The value of [SchedulerState.changeCount] when the marks were last set. */
    private var changesAtRefresh = -1

    /**
     * Marks each team's jobs as guaranteed in the order of their submission, as long as together they fit into the
     * team's guarantee. Does nothing if it ran less than [REFRESH_INTERVAL_S] ago and no job was added, became ready or
     * ended since.
     */
    fun refresh() {
        if (ctx.now < refreshedAt + REFRESH_INTERVAL_S && schedulerState.changeCount == changesAtRefresh) return
        refreshedAt = ctx.now
        changesAtRefresh = schedulerState.changeCount
        val demandByTeam = HashMap<Int, Resources>()
        for (job in schedulerState.liveJobs.sortedBy { it.submittedMs }) {
            val team = ctx.settings.teams[job.team.value]
            // A job that waits for its dependencies takes no part of the guarantee.
            if (!team.hasGuarantee || !job.ready) continue
            val demand =
                (demandByTeam[job.team.value] ?: Resources.NONE) + job.spec.need * (job.spec.tasks - job.doneCount)
            demandByTeam[job.team.value] = demand
            job.guaranteed =
                (team.cpus == 0L || demand.cpus <= team.cpus) &&
                (team.gpus == 0L || demand.gpus <= team.gpus)
        }
    }

    private companion object {
        const val REFRESH_INTERVAL_S = 1.0
    }
}
