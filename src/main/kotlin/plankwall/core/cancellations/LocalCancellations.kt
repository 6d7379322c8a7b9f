package plankwall.core.cancellations

import plankwall.core.statemachine.Context
import plankwall.wire.CancellationUpdate

/**
 * The cancellations that this node learned of, in that order: each is sent to the peers until it is known to have
 * arrived. Entries are numbered from 1 since the node's start; those dropped keep their numbers.
 */
internal class LocalCancellations(private val ctx: Context) {
    private class Entry(val job: String, val learnedAt: Double)

    private val entries = ArrayDeque<Entry>()
    private var dropped = 0L

    /** By frame: the number of the last entry when it was made. */
    private val lastEntryByFrame = LinkedHashMap<Long, Long>()

    /** By node: the number of the last entry that has arrived there. */
    private val arrivedByNode = HashMap<String, Long>()

    /** [job] is known as cancelled from now on. */
    fun add(job: String) {
        entries.addLast(Entry(job, ctx.now))
        if (entries.size > MAX_ENTRIES) dropFirst()
    }

    private fun dropFirst() {
        entries.removeFirst()
        dropped++
    }

    /** The frame numbered [seq] has arrived at [node], and with it all entries up to its last. */
    fun onArrived(node: String, seq: Long) {
        lastEntryByFrame[seq]?.let { last -> arrivedByNode[node] = maxOf(arrivedByNode[node] ?: 0L, last) }
    }

    /**
     * The update for the frame numbered [seq]: the entries that some peer may lack. A peer that nothing has reached for
     * `cancel_s` is not waited for: by then it has either stopped answering workers or learned of them from the store.
     * [readAgeMs] is the age of the newest read of the store, [upMs] for how long this node has run.
     */
    fun nextUpdate(seq: Long, readAgeMs: Long, upMs: Long): CancellationUpdate {
        while (entries.isNotEmpty() && ctx.now - entries.first().learnedAt > ctx.settings.workers.cancelS) dropFirst()
        lastEntryByFrame[seq] = dropped + entries.size
        if (lastEntryByFrame.size > MAX_FRAMES) lastEntryByFrame.remove(lastEntryByFrame.keys.first())
        val arrivedEverywhere = ctx.settings.peers.minOfOrNull { arrivedByNode[it.node] ?: 0L } ?: 0L
        val acknowledged = maxOf(dropped, arrivedEverywhere)
        val jobs = entries.drop((acknowledged - dropped).toInt()).map { it.job }
        return CancellationUpdate(acknowledged + 1, jobs, readAgeMs, upMs)
    }

    private companion object {
        /** A frame has 64 KiB; each entry takes some 14 bytes of it. */
        const val MAX_ENTRIES = 1_000

        /** For how many frames the last entry is kept. */
        const val MAX_FRAMES = 120
    }
}
