package plankwall.core.state

import plankwall.core.store.LeaderStore
import plankwall.wire.FinalRecord
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateResult

/**
 * Reads again what the store holds of a job after a conflict or a missing answer has left that unknown. By itself it
 * changes only the version of a page, [TaskPage.inFlight] and [TaskPage.mustReread].
 */
internal class StoredJobReader(
    private val store: LeaderStore,
    private val leftovers: LeftoverPages,
    private val onRecord: JobRecordListener,
    private val onEnded: JobEndListener,
) {
    /** Reads the version of [page]. If that fails, the page stays marked to be read again. */
    fun rereadPage(job: Job, page: TaskPage) {
        page.inFlight = true
        store.read(Keys.page(job.spec.id, page.number)) { result ->
            page.inFlight = false
            if (result is StateResult.Item) {
                page.version = result.item?.version ?: 0L
                page.mustReread = false
            } else {
                page.mustReread = true
            }
        }
    }

    /** Reads the record of [job] or, if that is gone, its final record. */
    fun rereadJob(job: Job) = store.read(Keys.job(job.spec.id)) { result ->
        if (result !is StateResult.Item) return@read
        val item = result.item
        val record = item?.value as? JobRecord
        if (item != null && record != null) {
            onRecord.onJobRecord(job.spec.id, record, item.version)
        } else if (job.placements.isEmpty() && !job.finishing) {
            // Only the finalizer removes a record, so one of its writes was applied although its answer did not arrive.
            readFinalRecord(job)
        }
    }

    /**
     * Reads the final record of [job], which says how the job ended and so what becomes of the jobs that depend on it.
     */
    private fun readFinalRecord(job: Job) = store.read(Keys.final(job.spec.id)) { result ->
        val finalRecord = (result as? StateResult.Item)?.item?.value as? FinalRecord ?: return@read
        onEnded.onJobEnded(job, finalRecord.stage, finalRecord.endedMs)
        leftovers.remove(job.pages.values.filter { it.version > 0 }.map { Keys.page(job.spec.id, it.number) })
    }
}
