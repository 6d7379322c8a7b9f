package plankwall.core.state

import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.wire.StateCodec

/**
 * Writes the changes of [SchedulerState] to the store: pages of tasks, and the final records of jobs that ended.
 * [DirtyJobs] decides what is due, [PageBatch] collects page writes, and [PageWriteResults] handles their results.
 * [PageSplitter] and [JobFinalizer] make the changes that involve more than one key.
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

    /** Records that [job] has changes to be written. */
    fun markDirty(job: Job) = dirtyJobs.add(job)

    /** Records that [job] has ended, so that nothing of it is to be written any more. */
    fun forget(job: Job) = dirtyJobs.remove(job)

    /** Removes the stored pages under [keys], which belong to no live job. */
    fun removeLeftovers(keys: List<String>) = leftovers.remove(keys)

    /**
     * Writes the changes that the store does not have yet, as far as its rate limit allows, in the order of
     * [DirtyJobs.inWriteOrder].
     */
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

    /** Writes the changes of [job] that are due. Returns the part of [budget], in changes, that this uses. */
    private fun writeJob(job: Job, batch: PageBatch, budget: Int): Int {
        if (job.version == 0L || job.finishing) return 0
        if (job.isFinalizable) return finalizer.finalize(job)
        if (budget < store.lowPriorityWriteThreshold && dirtyJobs.mayCoalesce(job)) return 0
        val spent = writePages(job, batch, budget)
        dirtyJobs.removeIfClean(job)
        return spent
    }

    private fun writePages(job: Job, batch: PageBatch, budget: Int): Int {
        var spent = 0
        for (page in job.pages.values.filter { it.dirty && !it.inFlight }) {
            if (page.mustReread) {
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
        if (snapshot.estimatedBytes > limits.maxBytesPerKey * NEAR_FULL_SHARE || page.rejectedBytes > 0) {
            val exactBytes = StateCodec.sizeOf(snapshot.record)
            if (splitter.needsSplit(page, exactBytes)) return splitter.split(job, page)
            // The store rejected a record of exactly this size, so the page is not sent again before it has changed.
            if (page.rejectedBytes == exactBytes) return 0
        }
        batch.add(snapshot)
        return 1
    }

    private companion object {
        /** The share of the largest value's size above which the exact size of a page is computed. */
        const val NEAR_FULL_SHARE = 0.5
    }
}
