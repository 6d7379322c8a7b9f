package plankwall.core.api

import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.JobSpec
import plankwall.model.Shape
import plankwall.wire.JobRecord

/** The HTTP [status] of a rejected submission, and the [reason] that is sent to the user. */
internal data class SubmissionRejection(val status: Int, val reason: String) {
    companion object {
        /** The job's record is larger than a value that the state service stores. */
        val TOO_LARGE = SubmissionRejection(400, "the description is too long to be kept")
    }
}

/** Checks submissions against the machine types, the team's limit and the size of a stored record. */
internal class SubmissionCheck(
    private val ctx: Context,
    private val catalogCache: CatalogCache,
    private val recordSize: JobRecordSize,
) {
    /** Returns why the submission of [record] is rejected, by the machine types known now, or null if it is valid. */
    fun rejectionOf(record: JobRecord): SubmissionRejection? {
        val catalog = catalogCache.catalog
        return when {
            catalog == null -> SubmissionRejection(503, "the machine types are not known yet")
            !recordSize.fits(record) -> SubmissionRejection.TOO_LARGE
            else -> findUnsatisfiableReason(record.spec, catalog)?.let { SubmissionRejection(422, it) }
        }
    }

    /** Returns why a job with [spec] can never run, or null if it can. */
    private fun findUnsatisfiableReason(spec: JobSpec, catalog: Catalog): String? {
        val team = ctx.settings.teams.find { it.name == spec.team } ?: return "unknown team"
        val fittingTypes = catalog.fitting(spec)
        if (fittingTypes.isEmpty()) return "a task fits no allowed machine type"
        val isPinnedToZone = spec.oneZone || spec.zone != null
        val zones = if (isPinnedToZone) 1 else fittingTypes.flatMap { it.zones }.distinct().size
        // The tasks of an array may run one after another; those of other shapes have to run at the same time.
        val runsConcurrently = spec.shape != Shape.ARRAY
        if (spec.spread && runsConcurrently && spec.tasks > 1 && zones < 2) {
            return "its tasks may not share the only zone that they may have"
        }
        val minConcurrentNeed = if (runsConcurrently) spec.need * spec.tasks else spec.need
        return if (team.allows(minConcurrentNeed)) null else "needs more than the team's limit"
    }
}
