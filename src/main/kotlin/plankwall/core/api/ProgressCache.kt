package plankwall.core.api

import plankwall.wire.JobProgress
import plankwall.wire.ProgressUpdate

/**
 * This node's copy of the progress of live jobs that the leader last published. Progress is only displayed, so a lag of
 * a second does no harm, and users' polls for it need no call of the state service. The outcome of a job is never taken
 * from here but from the store.
 */
class ProgressCache {
    private val progressByJob = HashMap<String, JobProgress>()

    /** The highest epoch of any update so far. */
    private var newestEpoch = 0L

    /** The progress of job [id], or null if none is known. */
    operator fun get(id: String): JobProgress? = progressByJob[id]

    /**
     * Applies [update], unless an update of a later epoch came before it. Leaves out jobs that are not live by
     * [isLive], which bounds the size of this cache by the number of live jobs.
     */
    fun onUpdate(update: ProgressUpdate, isLive: (String) -> Boolean) {
        if (update.epoch < newestEpoch) return
        newestEpoch = update.epoch
        update.jobs.forEach { if (isLive(it.id)) progressByJob[it.id] = it }
    }

    /** Removes the progress of job [id], which is over. */
    fun forget(id: String) {
        progressByJob.remove(id)
    }
}
