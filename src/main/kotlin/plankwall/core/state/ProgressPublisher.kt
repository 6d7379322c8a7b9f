package plankwall.core.state

import plankwall.wire.JobProgress
import plankwall.wire.ProgressUpdate

/**
 * Selects the progress of jobs that the leader publishes: in each round that of the jobs that changed since the last
 * round, and of a part of the others, for nodes that missed it. Owns what was published last; nothing of it is stored.
 */
internal class ProgressPublisher(private val schedulerState: SchedulerState) {
    private val lastPublished = HashMap<String, JobProgress>()
    private var round = 0

    /** Returns the updates to be sent now, each small enough for one frame. */
    fun nextUpdates(epoch: Long): List<ProgressUpdate> {
        round++
        val changed = ArrayList<JobProgress>()
        for (job in schedulerState.liveJobs) {
            val progress = job.progress
            val isRepeated = (job.index.value + round) % REPEAT_EVERY_ROUNDS == 0
            if (lastPublished.put(progress.id, progress) != progress || isRepeated) changed.add(progress)
        }
        if (lastPublished.size > schedulerState.liveJobs.size) {
            lastPublished.keys.retainAll { schedulerState.find(it) != null }
        }
        return changed.chunked(JOBS_PER_FRAME).map { ProgressUpdate(epoch, it) }
    }

    private companion object {
        /** The number of rounds within which the progress of every job is published, whether it changed or not. */
        const val REPEAT_EVERY_ROUNDS = 15
        const val JOBS_PER_FRAME = 500
    }
}
