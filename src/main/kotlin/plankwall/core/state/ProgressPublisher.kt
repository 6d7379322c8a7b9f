package plankwall.core.state

import plankwall.wire.JobProgress
import plankwall.wire.ProgressUpdate

/**
 * What the leader tells of its jobs: what changed since it last told, and a part of the rest each time for those who
 * missed it.
 */
class ProgressPublisher(private val schedulerState: SchedulerState) {
    private val told = HashMap<String, JobProgress>()
    private var turn = 0

    fun news(epoch: Long): List<ProgressUpdate> {
        turn++
        val changed = ArrayList<JobProgress>()
        for (job in schedulerState.live) {
            val now = job.progress
            if (told.put(now.id, now) != now || (job.ix.value + turn) % REPEAT_EVERY == 0) changed.add(now)
        }
        if (told.size > schedulerState.live.size) told.keys.retainAll { schedulerState.find(it) != null }
        return changed.chunked(PER_FRAME).map { ProgressUpdate(epoch, it) }
    }

    private companion object {
        const val REPEAT_EVERY = 15
        const val PER_FRAME = 500
    }
}
