package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.model.ImageIndex
import plankwall.model.JobIndex
import plankwall.model.TeamIndex
import plankwall.wire.JobRecord

/** Creates [Job]s from their stored records. Owns the numbering of jobs, which lasts as long as this leader. */
internal class JobFactory(private val ctx: Context) {
    private val log = LoggerFactory.getLogger("jobs")
    private var nextIndex = 0

    /** A new job whose tasks all wait; null if the settings don't know its team. */
    fun create(record: JobRecord): Job? {
        val spec = record.spec
        val knownTeam = ctx.names.teams.find(spec.team)
        if (knownTeam == null) {
            // Only after a change of settings: one such job must not keep all others from being served.
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
            isExpected(record),
        )
        for (task in 0 until spec.tasks) job.waiting.addLast(task)
        return job
    }

    /** A guarantee is an objective of its own, for whatever its team submits. */
    private fun isExpected(record: JobRecord): Boolean = ctx.objectives.isStated(record.spec.jobClass) ||
        ctx.settings.teams.any { it.name == record.spec.team && it.hasGuarantee }
}
