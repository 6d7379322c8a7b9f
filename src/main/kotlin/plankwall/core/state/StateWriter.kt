package plankwall.core.state

import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.wire.StateCodec

/**
 * Brings the store's copy of [SchedulerState] up to date: pages of tasks, and how jobs ended. [DirtyJobs] decides what
 * is due, [PageBatch] gathers page writes, [PageWriteResults] takes their results; [PageSplitter] and [JobFinalizer]
 * write what takes more than a page.
 */
internal class StateWriter(
    ctx: Context,
    private val store: LeaderStore,
    onRecord: JobRecordListener,
    onEnded: JobEndListener,
) {
    private val limits = store.limits
    private val dirtyJobs = DirtyJobs(ctx)
    private val leftovers = LeftoverPages(store)
    private val reader = StoredJobReader(store, leftovers, onRecord, onEnded)
    private val results = PageWriteResults(dirtyJobs, reader)
    private val splitter = PageSplitter(store, dirtyJobs, reader)
    private val finalizer = JobFinalizer(ctx, store, reader, leftovers, onEnded)

    /** [job] has changes to be written. */
    fun markDirty(job: Job) = dirtyJobs.add(job)

    /** [job] is over: nothing of it is to be written any more. */
    fun forget(job: Job) = dirtyJobs.remove(job)

    /** Removes the stored pages under [keys], which belong to no live job. */
    fun removeLeftovers(keys: List<String>) = leftovers.remove(keys)

    /** Writes what the store does not have yet, as far as its rate allows, in the order of [DirtyJobs.inWriteOrder]. */
    fun flush() {
        var budget = store.availableWrites()
        if (budget <= 0 || dirtyJobs.isEmpty()) return
        val batch = PageBatch(store, results)
        for (job in dirtyJobs.inWriteOrder()) {
            if (budget <= 0) break
            budget -= writeJob(job, batch, budget)
        }
        batch.send()
    }

    /** Writes what is due of [job]. Returns the number of changes that this takes of [budget]. */
    private fun writeJob(job: Job, batch: PageBatch, budget: Int): Int {
        if (job.version == 0L || job.finishing) return 0
        if (job.isFinalizable) return finalizer.finalize(job)
        if (budget < store.scarceWrites && dirtyJobs.mayCoalesce(job)) return 0
        val spent = writePages(job, batch, budget)
        dirtyJobs.removeIfClean(job)
        return spent
    }

    private fun writePages(job: Job, batch: PageBatch, budget: Int): Int {
        var spent = 0
        for (page in job.pages.values.filter { it.dirty && !it.inFlight }) {
            if (page.reread) {
                reader.rereadPage(job, page)
            } else {
                if (spent >= budget) break
                spent += writePage(job, page, batch)
            }
        }
        return spent
    }

    private fun writePage(job: Job, page: TaskPage, batch: PageBatch): Int {
        val snapshot = PageSnapshot.of(job, page)
        if (snapshot.estimatedBytes > limits.wholeBytes * NEAR_FULL_SHARE || page.refusedBytes > 0) {
            val exactBytes = StateCodec.sizeOf(snapshot.record)
            if (splitter.needsSplit(page, exactBytes)) return splitter.split(job, page)
            // Rejected as it is, so it is not sent again before it has changed.
            if (page.refusedBytes == exactBytes) return 0
        }
        batch.add(snapshot)
        return 1
    }

    private companion object {
        /** From this part of the largest value on, a page's exact size is computed. */
        const val NEAR_FULL_SHARE = 0.5
    }
}
