package plankwall.core.api

import plankwall.core.cancellations.Cancellations
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.wire.FinalRecord
import plankwall.wire.JobProgress

/** Builds the states of jobs as users see them. */
internal class JobViews(
    private val jobCache: JobCache,
    private val cancellations: Cancellations,
    private val progressOf: (job: String) -> JobProgress?,
) {
    /** A job that has just been accepted, or of which nothing more is known. */
    fun ofPending(id: String) = JobView(id, JobStage.PENDING, 0, 0)

    /** A live job with its progress and the dependencies that it waits for. */
    fun ofLive(id: String): JobView {
        val waitsFor = jobCache.openDependencies(id)
        val progress = progressOf(id) ?: return JobView(id, JobStage.PENDING, 0, 0, waitsFor)
        val stage = if (progress.running > 0) JobStage.RUNNING else JobStage.PENDING
        return JobView(id, stage, progress.done, progress.running, waitsFor)
    }

    /** A job that is over. */
    fun ofEnded(id: String, record: FinalRecord) = JobView(id, record.stage, record.done, 0)

    /**
     * A live job that is cancelled. Once a user has got this answer it holds on every node, so the cancellation is also
     * passed on from here to those that keep its tasks.
     */
    fun ofCancelled(id: String): JobView {
        cancellations.learn(id)
        return JobView(id, JobStage.CANCELLED, 0, 0)
    }

    /** A live job, depending on whether it is [cancelled]; without its progress. */
    fun ofAccepted(id: String, cancelled: Boolean): JobView = if (cancelled) ofCancelled(id) else ofPending(id)
}
