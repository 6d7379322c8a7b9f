package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.store.LeaderStore
import plankwall.wire.Keys
import plankwall.wire.StateResult

/**
 * Splits a page that no longer fits a stored value among several keys. The page itself is written last and states the
 * size of the parts. Until then every leader ignores the parts, and the stored page holds what it held before. Changes
 * made during the split are written afterwards, so the split alone marks nothing as stored.
 */
internal class PageSplitter(
    private val store: LeaderStore,
    private val dirtyJobs: DirtyJobs,
    private val reader: StoredJobReader,
) {
    private val log = LoggerFactory.getLogger("jobs")
    private val limits = store.limits

    /** A page that is being split into parts of [tasksPerPart] tasks, of which [unwritten] are still to be written. */
    private class Split(val job: Job, val page: TaskPage, val tasksPerPart: Int, val unwritten: ArrayDeque<TaskPage>)

    /** Returns whether [page], whose record takes [exactBytes], is too large for one value and may be split. */
    fun needsSplit(page: TaskPage, exactBytes: Int): Boolean = exactBytes > limits.maxBytesPerKey &&
        limits.maySplitValues &&
        page.partSize == 0 &&
        page.taskCount > limits.maxTasksPerPage

    /** Starts to split [page]. Returns the number of changes that this takes of the write budget. */
    fun split(job: Job, page: TaskPage): Int {
        val tasksPerPart = limits.maxTasksPerPage
        val parts = (1..(page.taskCount - 1) / tasksPerPart).map { part -> partOf(job, page, part, tasksPerPart) }
        log.info(
            "page split page={} job={} parts={} tasks_per_part={}",
            page.number,
            job.spec.id,
            parts.size + 1,
            tasksPerPart,
        )
        page.inFlight = true
        writeNextParts(Split(job, page, tasksPerPart, ArrayDeque(parts)))
        return parts.size + 1
    }

    private fun partOf(job: Job, page: TaskPage, part: Int, tasksPerPart: Int): TaskPage {
        val number = Keys.part(page.number, part)
        return job.pages.getOrPut(number) { TaskPage(number) }
            .apply {
                cover(
                    page.firstTask + part * tasksPerPart,
                    minOf(page.firstTask + (part + 1) * tasksPerPart, page.endTask),
                )
            }
    }

    /** Writes as many parts as one transaction holds. The last transaction also writes the page itself. */
    private fun writeNextParts(split: Split) {
        val job = split.job
        val page = split.page
        val maxParts = minOf(limits.txnOps, maxOf(1, PageBatch.MAX_TRANSACTION_BYTES / limits.valueBytes))
        val parts = generateSequence { split.unwritten.removeFirstOrNull() }.take(maxParts).toList()
        val isLast = split.unwritten.isEmpty() && parts.size < maxParts
        val snapshots = parts.map { PageSnapshot.of(job, it) } +
            if (isLast) {
                listOf(PageSnapshot.of(job, page, page.firstTask + split.tasksPerPart, split.tasksPerPart))
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
        page.partSize = split.tasksPerPart
        page.cover(page.firstTask, page.firstTask + split.tasksPerPart)
        split.job.pages.values.filter { Keys.pageOf(it.number) == page.number }.forEach { it.dirty = true }
        dirtyJobs.add(split.job)
    }

    /**
     * Prepares another attempt. It may be unknown which of the parts are stored now, so their versions are read first.
     */
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
