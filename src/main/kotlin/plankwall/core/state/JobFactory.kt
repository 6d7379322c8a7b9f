package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.model.ImageIndex
import plankwall.model.JobIndex
import plankwall.model.TeamIndex
import plankwall.wire.JobRecord

/**
 * Creates [Job]s from their stored records. Owns the numbering of jobs, which is only valid as long as this node leads.
 */
internal class JobFactory(private val ctx: Context) {
    private val log = LoggerFactory.getLogger("jobs")
    private var nextIndex = 0

    /** Returns a new job, all tasks of which wait; null if the settings do not contain its team. */
    fun create(record: JobRecord): Job? {
        val spec = record.spec
        val knownTeam = ctx.names.teams.find(spec.team)
        if (knownTeam == null) {
            // This happens only after a change of the settings. One such job must not keep all others from being
            // served.
            log.error("job of unknown team ignored job={} team={}", spec.id, spec.team)
            return null
        }
        val job = Job(
            JobIndex(nextIndex++),
            spec,
            TeamIndex(knownTeam),
            ImageIndex(ctx.names.images.intern(spec.image)),
            record.pageSize,
            record.submittedMs,
            ctx.now,
            hasServiceObjective(record),
        )
        for (task in 0 until spec.tasks) job.waiting.addLast(task)
        return job
    }

    /**
     * Returns whether the job of [record] counts as having a service-level objective. A team's guarantee is an
     * objective for every job of the team.
     */
    private fun hasServiceObjective(record: JobRecord): Boolean = ctx.objectives.hasObjective(record.spec.jobClass) ||
        ctx.settings.teams.any { it.name == record.spec.team && it.hasGuarantee }
}
