package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.store.LeaderStore
import plankwall.wire.Keys
import plankwall.wire.StateResult

/**
 * Splits a page that no longer fits a stored value among several keys. The page itself is written last and states the
 * size of the parts: until then the parts count for nothing, whoever leads, and the page stands as it was. What changes
 * meanwhile is written afterwards, so nothing counts as stored by the split alone.
 */
internal class PageSplitter(
    private val store: LeaderStore,
    private val dirtyJobs: DirtyJobs,
    private val reader: StoredJobReader,
) {
    private val log = LoggerFactory.getLogger("jobs")
    private val limits = store.limits

    /** One page being split: [unwritten] parts are left, each of [partSize] tasks. */
    private class Split(val job: Job, val page: TaskPage, val partSize: Int, val unwritten: ArrayDeque<TaskPage>)

    /** Whether [page] with a record of [exactBytes] has to be split, and may be. */
    fun needsSplit(page: TaskPage, exactBytes: Int): Boolean =
        exactBytes > limits.wholeBytes && limits.mayDivide && page.partSize == 0 && page.tasks > limits.pageTasks

    /** Starts to split [page]. Returns the number of changes that this takes of the write budget. */
    fun split(job: Job, page: TaskPage): Int {
        val size = limits.pageTasks
        val parts = (1..(page.tasks - 1) / size).map { part -> partOf(job, page, part, size) }
        log.info(
            "page split page={} job={} parts={} tasks_per_part={}",
            page.number,
            job.spec.id,
            parts.size + 1,
            size,
        )
        page.inFlight = true
        writeNextParts(Split(job, page, size, ArrayDeque(parts)))
        return parts.size + 1
    }

    private fun partOf(job: Job, page: TaskPage, part: Int, size: Int): TaskPage {
        val number = Keys.part(page.number, part)
        return job.pages.getOrPut(number) { TaskPage(number) }
            .apply { cover(page.from + part * size, minOf(page.from + (part + 1) * size, page.to)) }
    }

    /** Writes as many parts as one transaction holds, and the page itself with the last of them. */
    private fun writeNextParts(split: Split) {
        val job = split.job
        val page = split.page
        val most = minOf(limits.txnOps, maxOf(1, PageBatch.MAX_TRANSACTION_BYTES / limits.valueBytes))
        val parts = generateSequence { split.unwritten.removeFirstOrNull() }.take(most).toList()
        val isLast = split.unwritten.isEmpty() && parts.size < most
        val snapshots = parts.map { PageSnapshot.of(job, it) } +
            if (isLast) {
                listOf(PageSnapshot.of(job, page, page.from + split.partSize, split.partSize))
            } else {
                emptyList()
            }
        snapshots.forEach { it.page.inFlight = true }
        store.writePages(snapshots) { result ->
            snapshots.forEach { it.page.inFlight = false }
            page.inFlight = true
            if (result is StateResult.Committed) {
                snapshots.forEach { it.page.version = result.revision }
                if (isLast) onSplit(split) else writeNextParts(split)
            } else {
                onFailed(split, parts, result)
            }
        }
    }

    private fun onSplit(split: Split) {
        val page = split.page
        page.inFlight = false
        page.partSize = split.partSize
        page.cover(page.from, page.from + split.partSize)
        split.job.pages.values.filter { Keys.wholeOf(it.number) == page.number }.forEach { it.dirty = true }
        dirtyJobs.add(split.job)
    }

    /** Which of the parts are stored now may be unknown: their versions are read before the next attempt. */
    private fun onFailed(split: Split, parts: List<TaskPage>, result: StateResult) {
        val job = split.job
        val page = split.page
        page.inFlight = false
        page.dirty = true
        if (result is StateResult.Conflict && Keys.job(job.spec.id) in result.failed) reader.rereadJob(job)
        val isSurelyUnwritten = result is StateResult.Refused || result == StateResult.Rejected
        if (!isSurelyUnwritten) (parts + page).forEach { reader.rereadPage(job, it) }
        dirtyJobs.add(job)
    }
}
