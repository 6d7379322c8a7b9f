package plankwall.core.queue

import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.statemachine.Context
import plankwall.model.Resources

/** Marks the jobs that their teams' guarantees cover. */
internal class Guarantees(private val ctx: Context, private val schedulerState: SchedulerState) {
    private var refreshedAt = Machine.NEVER
    private var refreshedChanges = -1

    /**
     * Marks each team's jobs as guaranteed in the order of their submission, as long as they fit into its guarantee
     * together. Does nothing if nothing changed since, shortly after the last time.
     */
    fun refresh() {
        if (ctx.now < refreshedAt + REFRESH_S && schedulerState.changes == refreshedChanges) return
        refreshedAt = ctx.now
        refreshedChanges = schedulerState.changes
        val sums = HashMap<Int, Resources>()
        for (job in schedulerState.live.sortedBy { it.submittedMs }) {
            val team = ctx.settings.teams[job.team.value]
            // A job that waits for its dependencies holds no part of it.
            if (!team.hasGuarantee || !job.ready) continue
            val sum = (sums[job.team.value] ?: Resources.NONE) + job.spec.need * (job.spec.tasks - job.doneCount)
            sums[job.team.value] = sum
            job.guaranteed = (team.cpus == 0L || sum.cpus <= team.cpus) && (team.gpus == 0L || sum.gpus <= team.gpus)
        }
    }

    private companion object {
        const val REFRESH_S = 1.0
    }
}
