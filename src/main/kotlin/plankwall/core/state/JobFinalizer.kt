package plankwall.core.state

import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.model.JobStage
import plankwall.model.factsFor
import plankwall.wire.FinalRecord
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.StateResult
import plankwall.wire.Write

/** Replaces the record and the pages of a job that has ended by its final record. Owns [Job.finishing]. */
internal class JobFinalizer(
    private val ctx: Context,
    private val store: LeaderStore,
    private val reader: StoredJobReader,
    private val leftovers: LeftoverPages,
    private val onEnded: JobEndListener,
) {
    /**
     * Writes how [job] ended in one transaction. Pages of a huge job that the transaction cannot hold are removed
     * afterwards. Returns the number of changes that this takes of the write budget.
     */
    fun finalize(job: Job): Int {
        val id = job.spec.id
        val stage = if (job.isComplete && !job.cancelled) JobStage.DONE else JobStage.CANCELLED
        val endedMs = ctx.time.wallMs
        val storedPages = job.pages.values.filter { it.version > 0 }.map { Keys.page(id, it.number) }
        val removedNow = storedPages.take(store.limits.txnOps - RECORD_CHANGES)
        val writes = listOf(Write.Put(Keys.final(id), finalRecord(job, stage, endedMs)), Write.Remove(Keys.job(id))) +
            removedNow.map { Write.Remove(it) }
        job.finishing = true
        store.write(listOf(Guard(Keys.job(id), job.version)), writes) { result ->
            job.finishing = false
            when (result) {
                is StateResult.Committed -> {
                    onEnded.onJobEnded(job, stage, endedMs)
                    leftovers.remove(storedPages.drop(removedNow.size))
                }
                is StateResult.Conflict -> reader.rereadJob(job)
                // The job stays dirty, so the next flush writes it again.
                else -> Unit
            }
        }
        return writes.size
    }

    private fun finalRecord(job: Job, stage: JobStage, endedMs: Long) =
        FinalRecord(stage, job.doneCount, endedMs, job.owner?.let { job.spec.factsFor(it) })

    private companion object {
        /** The number of changes besides those of pages: one puts the final record, one removes the job's record. */
        const val RECORD_CHANGES = 2
    }
}
