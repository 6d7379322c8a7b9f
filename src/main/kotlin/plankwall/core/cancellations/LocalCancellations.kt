package plankwall.core.cancellations

import plankwall.core.statemachine.Context
import plankwall.wire.CancellationUpdate

/**
 * The cancellations that this node has learned of, in the order in which it learned of them. Each is sent to the peers
 * until it is known to have arrived at all of them. Entries are numbered from 1 since the node's start; the numbers of
 * dropped entries are not used again.
 */
internal class LocalCancellations(private val ctx: Context) {
    private class Entry(val job: String, val learnedAt: Double)

    private val entries = ArrayDeque<Entry>()

    /** The number of entries that were dropped from the beginning of [entries]. */
    private var droppedCount = 0L

    /** The number of the last entry that existed when a frame was made, by the frame's sequence number. */
    private val lastEntryByFrame = LinkedHashMap<Long, Long>()

    /** The number of the last entry that has arrived at a node, by node. */
    private val arrivedByNode = HashMap<String, Long>()

    /** Adds [job], which is known to be cancelled. */
    fun add(job: String) {
        entries.addLast(Entry(job, ctx.now))
        if (entries.size > MAX_ENTRIES) dropFirst()
    }

    private fun dropFirst() {
        entries.removeFirst()
        droppedCount++
    }

    /**
     * Records that the frame numbered [seq] has arrived at [node], and with it all entries up to the last one at that
     * time.
     */
    fun onArrived(node: String, seq: Long) {
        lastEntryByFrame[seq]?.let { number -> arrivedByNode[node] = maxOf(arrivedByNode[node] ?: 0L, number) }
    }

    /**
     * Returns the update for the frame numbered [seq]: the entries that some peer may lack. Entries older than
     * `cancel_s` are dropped even if a peer has received nothing since then: by that time it has either stopped
     * answering workers or learned of them from the store. [readAgeMs] is the age of the newest read of the store and
     * [upMs] the time since this node started, both in milliseconds.
     */
    fun nextUpdate(seq: Long, readAgeMs: Long, upMs: Long): CancellationUpdate {
        while (entries.isNotEmpty() && ctx.now - entries.first().learnedAt > ctx.settings.workers.cancelS) dropFirst()
        lastEntryByFrame[seq] = droppedCount + entries.size
        if (lastEntryByFrame.size > MAX_REMEMBERED_FRAMES) lastEntryByFrame.remove(lastEntryByFrame.keys.first())
        val arrivedEverywhere = ctx.settings.peers.minOfOrNull { arrivedByNode[it.node] ?: 0L } ?: 0L
        val lastAcknowledged = maxOf(droppedCount, arrivedEverywhere)
        val jobs = entries.drop((lastAcknowledged - droppedCount).toInt()).map { it.job }
        return CancellationUpdate(lastAcknowledged + 1, jobs, readAgeMs, upMs)
    }

    private companion object {
        /** A frame has 64 KiB, and each entry takes about 14 bytes of it. */
        const val MAX_ENTRIES = 1_000

        /** The number of frames whose last entry is remembered. */
        const val MAX_REMEMBERED_FRAMES = 120
    }
}
