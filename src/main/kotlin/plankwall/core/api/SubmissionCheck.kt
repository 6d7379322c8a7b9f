package plankwall.core.api

import plankwall.core.statemachine.Context
import plankwall.model.Catalog
import plankwall.model.JobSpec
import plankwall.model.Shape
import plankwall.wire.JobRecord

/** Why a submission is rejected whatever is stored of other jobs: an HTTP [status] and the [reason] for the user. */
internal data class SubmissionRejection(val status: Int, val reason: String) {
    companion object {
        /** The record exceeds what the state service stores. */
        val TOO_LARGE = SubmissionRejection(400, "the description is too long to be kept")
    }
}

/** Checks submissions against the machine types, the team's limit and the size of a stored record. */
internal class SubmissionCheck(
    private val ctx: Context,
    private val capacityView: CapacityView,
    private val recordSize: JobRecordSize,
) {
    /** Why [record] is rejected, judged by the machine types known now; null if it is not. */
    fun rejectionOf(record: JobRecord): SubmissionRejection? {
        val catalog = capacityView.catalog
        return when {
            catalog == null -> SubmissionRejection(503, "the machine types are not known yet")
            !recordSize.fits(record) -> SubmissionRejection.TOO_LARGE
            else -> whyUnsatisfiable(record.spec, catalog)?.let { SubmissionRejection(422, it) }
        }
    }

    /** Why a job can never run, or null. */
    private fun whyUnsatisfiable(spec: JobSpec, catalog: Catalog): String? {
        val team = ctx.settings.teams.find { it.name == spec.team } ?: return "unknown team"
        val fittingTypes = catalog.fitting(spec)
        if (fittingTypes.isEmpty()) return "a task fits no allowed machine type"
        val isPinnedToZone = spec.oneZone || spec.zone != null
        val zones = if (isPinnedToZone) 1 else fittingTypes.flatMap { it.zones }.distinct().size
        // Tasks of an array may run one after another, those of other shapes can't.
        val runsAtOnce = spec.shape != Shape.ARRAY
        if (spec.spread && runsAtOnce && spec.tasks > 1 && zones < 2) {
            return "its tasks may not share the only zone that they may have"
        }
        val neededAtOnce = if (runsAtOnce) spec.need * spec.tasks else spec.need
        return if (team.allows(neededAtOnce)) null else "needs more than the team's limit"
    }
}
