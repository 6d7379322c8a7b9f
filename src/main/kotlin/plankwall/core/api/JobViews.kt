package plankwall.core.api

import plankwall.core.cancellations.Cancellations
import plankwall.model.JobStage
import plankwall.model.JobView
import plankwall.wire.FinalRecord
import plankwall.wire.JobProgress

/**
 * Builds the views of jobs that users are answered with.
 *
 * @param progressOf returns the progress of a live job by its id, or null if it is unknown
 */
internal class JobViews(
    private val jobCache: JobCache,
    private val cancellations: Cancellations,
    private val progressOf: (job: String) -> JobProgress?,
) {
    /** Returns the view of a job that has just been accepted. */
    fun ofPending(id: String) = JobView(id, JobStage.PENDING, 0, 0)

    /** Returns the view of a live job that is not cancelled: its progress and the dependencies that it waits for. */
    fun ofLive(id: String): JobView {
        val openDependencies = jobCache.openDependencies(id)
        val progress = progressOf(id) ?: return JobView(id, JobStage.PENDING, 0, 0, openDependencies)
        val stage = if (progress.running > 0) JobStage.RUNNING else JobStage.PENDING
        return JobView(id, stage, progress.done, progress.running, openDependencies)
    }

    /** Returns the view of a job that is over. */
    fun ofEnded(id: String, record: FinalRecord) = JobView(id, record.stage, record.done, 0)

    /**
     * Returns the view of a live job that is cancelled. Once a user has this answer, the cancellation is binding for
     * every node, so it is first recorded here, to be passed on to the leader, which keeps the job's tasks running.
     */
    fun ofCancelled(id: String): JobView {
        cancellations.recordCancelled(id)
        return JobView(id, JobStage.CANCELLED, 0, 0)
    }
}
