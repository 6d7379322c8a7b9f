package plankwall.core.api

import plankwall.wire.JobProgress
import plankwall.wire.ProgressUpdate

/**
 * How far live jobs are, as the leader last told: for display only, so a second's lag does no harm, and users' polls
 * cost the state service nothing. What is over is told by the store alone, never from here.
 */
class ProgressCache {
    private val known = HashMap<String, JobProgress>()
    private var epoch = 0L

    operator fun get(id: String): JobProgress? = known[id]

    /** Jobs that [isLive] does not know are kept out, which bounds the board by the number of live jobs. */
    fun onUpdate(news: ProgressUpdate, isLive: (String) -> Boolean) {
        if (news.epoch < epoch) return
        epoch = news.epoch
        news.jobs.forEach { if (isLive(it.id)) known[it.id] = it }
    }

    fun forget(id: String) {
        known.remove(id)
    }
}
