package plankwall.core.state

import plankwall.wire.Keys
import plankwall.wire.PageRecord
import plankwall.wire.StoredPlacement
import java.util.BitSet

/**
 * The content of one page at the moment of its write. The page may change while the write is under way; a successful
 * write stores only what the snapshot holds.
 */
internal class PageSnapshot private constructor(
    val job: Job,
    val page: TaskPage,
    val placements: List<Placement>,
    val done: BitSet,
    partSize: Int,
) {
    /** The exited attempts of [Job.unstoredExits] whose placements the record does not hold any more. */
    val exits: Map<Int, Long> = job.unstoredExits.filterKeys { it in page.firstTask until page.endTask }

    /** The record that is written under [key]. */
    val record = PageRecord(
        done,
        placements.map { StoredPlacement(it.task, it.attempt, it.machine.id, it.session) },
        partSize,
    )

    /** The page's key in the store. */
    val key: String get() = Keys.page(job.spec.id, page.number)

    /**
     * A cheap estimate of the size of [record]. The record holds [done] as ranges, of which there are at most half as
     * many as tasks.
     */
    val estimatedBytes: Int
        get() = RECORD_BYTES +
            placements.size * PLACEMENT_BYTES +
            minOf(done.cardinality(), job.pageSize / 2 + 1) * DONE_RANGE_BYTES

    companion object {
        private const val RECORD_BYTES = 120
        private const val PLACEMENT_BYTES = 60
        private const val DONE_RANGE_BYTES = 14

        /** Returns a snapshot of the whole range of [page]. */
        fun of(job: Job, page: TaskPage): PageSnapshot = of(job, page, page.endTask, page.partSize)

        /**
         * Returns a snapshot of the tasks of [page] before [endTask]. Its record states [partSize] as the size of the
         * parts.
         */
        fun of(job: Job, page: TaskPage, endTask: Int, partSize: Int): PageSnapshot {
            val placements = (page.firstTask until endTask).mapNotNull { job.placements[it] }
            val done = job.done.get(0, endTask).also { it.clear(0, page.firstTask) }
            return PageSnapshot(job, page, placements, done, partSize)
        }
    }
}
