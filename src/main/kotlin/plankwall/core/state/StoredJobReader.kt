package plankwall.core.state

import plankwall.core.store.LeaderStore
import plankwall.wire.FinalRecord
import plankwall.wire.JobRecord
import plankwall.wire.Keys
import plankwall.wire.StateResult

/**
 * Reads again what the store holds of a job once a conflict or a missing answer leaves that unknown. Changes nothing
 * but the version of a page, [TaskPage.inFlight] and [TaskPage.reread] itself.
 */
internal class StoredJobReader(
    private val store: LeaderStore,
    private val leftovers: LeftoverPages,
    private val onRecord: JobRecordListener,
    private val onEnded: JobEndListener,
) {
    /** Reads the version of [page]; if that fails the page is still to be read. */
    fun rereadPage(job: Job, page: TaskPage) {
        page.inFlight = true
        store.read(Keys.page(job.spec.id, page.number)) { result ->
            page.inFlight = false
            if (result is StateResult.Item) {
                page.version = result.item?.version ?: 0L
                page.reread = false
            } else {
                page.reread = true
            }
        }
    }

    /** Reads the record of [job]; if it is gone, the final record. */
    fun rereadJob(job: Job) = store.read(Keys.job(job.spec.id)) { result ->
        if (result !is StateResult.Item) return@read
        val item = result.item
        val record = item?.value as? JobRecord
        if (item != null && record != null) {
            onRecord.onJobRecord(job.spec.id, record, item.version)
        } else if (job.placements.isEmpty() && !job.finishing) {
            // Only the finalizer removes a record: a write of it that was never answered has been applied.
            readEnd(job)
        }
    }

    /** The final record says how the job ended, which decides about the jobs that depend on it. */
    private fun readEnd(job: Job) = store.read(Keys.final(job.spec.id)) { result ->
        val end = (result as? StateResult.Item)?.item?.value as? FinalRecord ?: return@read
        onEnded.onJobEnded(job, end.stage, end.endedMs)
        leftovers.remove(job.pages.values.filter { it.version > 0 }.map { Keys.page(job.spec.id, it.number) })
    }
}
