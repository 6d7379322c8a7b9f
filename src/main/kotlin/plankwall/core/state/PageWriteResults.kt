package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.wire.Keys
import plankwall.wire.StateCodec
import plankwall.wire.StateResult

/**
 * Handles the results of page writes: sets the version and the flags of each [TaskPage], [Placement.stored] and
 * [Job.storedDone].
 */
internal class PageWriteResults(private val dirtyJobs: DirtyJobs, private val reader: StoredJobReader) {
    private val log = LoggerFactory.getLogger("jobs")

    /** Handles the [result] of the transaction that wrote [snapshots]. */
    fun onResult(snapshots: List<PageSnapshot>, result: StateResult) {
        if (result == StateResult.Rejected) snapshots.forEach { onRejected(it, inBatch = snapshots.size > 1) }
        snapshots.forEach { onResult(it, result) }
    }

    /**
     * Records that the store rejected the page of [snapshot], either in a batch with others or alone. One page that is
     * too large must not keep the others from being written, so each page of a rejected batch is then written alone.
     */
    private fun onRejected(snapshot: PageSnapshot, inBatch: Boolean) {
        snapshot.page.writeAlone = inBatch
        if (!inBatch) snapshot.page.rejectedBytes = StateCodec.sizeOf(snapshot.record)
    }

    private fun onResult(snapshot: PageSnapshot, result: StateResult) {
        val page = snapshot.page
        page.inFlight = false
        when (result) {
            is StateResult.Committed -> onCommitted(snapshot, result.revision)
            is StateResult.Conflict -> onConflict(snapshot, result)
            // The write may still be applied, much later. The guard on the page's version lets only this write or its
            // retry succeed.
            else -> page.dirty = true
        }
        if (page.dirty) dirtyJobs.add(snapshot.job)
    }

    private fun onCommitted(snapshot: PageSnapshot, revision: Long) {
        snapshot.page.version = revision
        snapshot.page.writeAlone = false
        snapshot.placements.filterNot { it.stored }.forEach { onStored(it, revision) }
        snapshot.job.storedDone.or(snapshot.done)
        snapshot.exits.forEach { (task, attempt) -> snapshot.job.unstoredExits.remove(task, attempt) }
    }

    private fun onStored(placement: Placement, revision: Long) {
        placement.stored = true
        placement.machine.hasUnsentOrders = true
        log.info(
            "task placed task={}/{} machine={} attempt={} revision={}",
            placement.job.spec.id,
            placement.task,
            placement.machine.id,
            placement.attempt,
            revision,
        )
    }

    private fun onConflict(snapshot: PageSnapshot, conflict: StateResult.Conflict) {
        snapshot.page.dirty = true
        if (snapshot.key in conflict.failed) snapshot.page.mustReread = true
        if (Keys.job(snapshot.job.spec.id) in conflict.failed) reader.rereadJob(snapshot.job)
    }
}
