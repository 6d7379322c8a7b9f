package plankwall.core.api

import plankwall.wire.JobProgress
import plankwall.wire.ProgressUpdate

/**
 * The progress of live jobs as last published by the leader. It is only displayed, so a lag of a second does no harm,
 * and users' polls cost the state service nothing. The outcome of a job is never taken from here but from the store.
 */
class ProgressCache {
    private val progressByJob = HashMap<String, JobProgress>()
    private var epoch = 0L

    /** The progress of job [id], or null if none is known. */
    operator fun get(id: String): JobProgress? = progressByJob[id]

    /**
     * Takes in an [update], unless it is of an earlier epoch than one before. Jobs that are not [isLive] are left out,
     * which bounds the cache by the number of live jobs.
     */
    fun onUpdate(update: ProgressUpdate, isLive: (String) -> Boolean) {
        if (update.epoch < epoch) return
        epoch = update.epoch
        update.jobs.forEach { if (isLive(it.id)) progressByJob[it.id] = it }
    }

    /** Drops the progress of job [id]. */
    fun forget(id: String) {
        progressByJob.remove(id)
    }
}
