package plankwall.core.state

import plankwall.wire.Keys
import plankwall.wire.PageRecord
import plankwall.wire.StoredPlacement
import java.util.BitSet

/**
 * The content of one page as of the moment of its write. The page may change while the write is under way; only what
 * the snapshot holds counts as stored by it.
 */
internal class PageSnapshot private constructor(
    val job: Job,
    val page: TaskPage,
    val placements: List<Placement>,
    val done: BitSet,
    partSize: Int,
) {
    /** What is written under [key]. */
    val record = PageRecord(
        done,
        placements.map { StoredPlacement(it.task, it.attempt, it.machine.id, it.session) },
        partSize,
    )

    /** The page's key in the store. */
    val key: String get() = Keys.page(job.spec.id, page.number)

    /** A cheap estimate of the stored size; [done] is stored as ranges, of which there are at most half the tasks. */
    val estimatedBytes: Int
        get() = RECORD_BYTES +
            placements.size * PLACEMENT_BYTES +
            minOf(done.cardinality(), job.pageSize / 2 + 1) * DONE_RANGE_BYTES

    companion object {
        private const val RECORD_BYTES = 120
        private const val PLACEMENT_BYTES = 60
        private const val DONE_RANGE_BYTES = 14

        /** The whole range of [page]. */
        fun of(job: Job, page: TaskPage): PageSnapshot = of(job, page, page.to, page.partSize)

        /** The tasks of [page] before [to], with [partSize] as the size of its parts. */
        fun of(job: Job, page: TaskPage, to: Int, partSize: Int): PageSnapshot {
            val placements = job.placements.values.filter { it.task in page.from until to }
            val done = job.done.get(0, to).also { it.clear(0, page.from) }
            return PageSnapshot(job, page, placements, done, partSize)
        }
    }
}
