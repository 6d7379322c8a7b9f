package plankwall.core

import plankwall.wire.JobProgress
import plankwall.wire.ProgressNews

/**
 * How far live jobs are, as the leader last told: for display only, so a second's lag does no harm, and users' polls
 * cost the state service nothing. What is over is told by the store alone, never from here.
 */
class ProgressBoard {
    private val known = HashMap<String, JobProgress>()
    private var epoch = 0L

    operator fun get(id: String): JobProgress? = known[id]

    /** Jobs that [isLive] does not know are kept out, which bounds the board by the number of live jobs. */
    fun hear(news: ProgressNews, isLive: (String) -> Boolean) {
        if (news.epoch < epoch) return
        epoch = news.epoch
        news.jobs.forEach { if (isLive(it.id)) known[it.id] = it }
    }

    fun forget(id: String) {
        known.remove(id)
    }
}

/** The leader's side: what changed since it last told, and a part of the rest each time for those who missed it. */
class ProgressTeller(private val book: JobBook) {
    private val told = HashMap<String, JobProgress>()
    private var turn = 0

    fun news(epoch: Long): List<ProgressNews> {
        turn++
        val changed = ArrayList<JobProgress>()
        for (job in book.live) {
            val now = job.progress
            if (told.put(now.id, now) != now || (job.ix.value + turn) % REPEAT_EVERY == 0) changed.add(now)
        }
        if (told.size > book.live.size) told.keys.retainAll { book.find(it) != null }
        return changed.chunked(PER_FRAME).map { ProgressNews(epoch, it) }
    }

    private companion object {
        const val REPEAT_EVERY = 15
        const val PER_FRAME = 500
    }
}
