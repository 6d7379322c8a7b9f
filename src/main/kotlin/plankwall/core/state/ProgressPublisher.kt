package plankwall.core.state

import plankwall.wire.JobProgress
import plankwall.wire.ProgressUpdate

/**
 * Works out what the leader publishes about its jobs: what changed since it last published, and each time a part of the
 * rest for nodes that missed it. Owns what was published last; nothing of it is stored.
 */
internal class ProgressPublisher(private val schedulerState: SchedulerState) {
    private val lastPublished = HashMap<String, JobProgress>()
    private var round = 0

    /** The updates to be sent now, each of at most a frame's size. */
    fun nextUpdates(epoch: Long): List<ProgressUpdate> {
        round++
        val changed = ArrayList<JobProgress>()
        for (job in schedulerState.live) {
            val progress = job.progress
            val isRepeated = (job.ix.value + round) % REPEAT_EVERY_ROUNDS == 0
            if (lastPublished.put(progress.id, progress) != progress || isRepeated) changed.add(progress)
        }
        if (lastPublished.size > schedulerState.live.size) {
            lastPublished.keys.retainAll { schedulerState.find(it) != null }
        }
        return changed.chunked(JOBS_PER_FRAME).map { ProgressUpdate(epoch, it) }
    }

    private companion object {
        const val REPEAT_EVERY_ROUNDS = 15
        const val JOBS_PER_FRAME = 500
    }
}
