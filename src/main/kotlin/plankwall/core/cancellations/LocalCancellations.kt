package plankwall.core.cancellations

import plankwall.core.statemachine.Context
import plankwall.wire.CancellationUpdate

/**
 * What this node came to know as withdrawn, in the order in which it did: told to the peers until it is known to have
 * arrived.
 */
internal class LocalCancellations(private val ctx: Context) {
    private class Entry(val job: String, val at: Double)

    private val entries = ArrayDeque<Entry>()
    private var dropped = 0L
    private val lastIn = LinkedHashMap<Long, Long>()
    private val arrived = HashMap<String, Long>()

    fun add(job: String) {
        entries.addLast(Entry(job, ctx.now))
        if (entries.size > MAX_ENTRIES) drop()
    }

    private fun drop() {
        entries.removeFirst()
        dropped++
    }

    /** [node] has had our frame numbered [seq], and with it all entries up to its last. */
    fun arrived(node: String, seq: Long) {
        lastIn[seq]?.let { last -> arrived[node] = maxOf(arrived[node] ?: 0L, last) }
    }

    /**
     * The entries that some peer may lack. Whoever has heard nothing for `cancel_s` is not waited for: by then it has
     * either stopped answering workers or learned of them from the store.
     */
    fun nextUpdate(seq: Long, readAgeMs: Long, upMs: Long): CancellationUpdate {
        while (entries.isNotEmpty() && ctx.now - entries.first().at > ctx.settings.workers.cancelS) drop()
        lastIn[seq] = dropped + entries.size
        if (lastIn.size > REMEMBERED) lastIn.remove(lastIn.keys.first())
        val known = maxOf(dropped, ctx.settings.peers.minOfOrNull { arrived[it.node] ?: 0L } ?: 0L)
        return CancellationUpdate(known + 1, entries.drop((known - dropped).toInt()).map { it.job }, readAgeMs, upMs)
    }

    private companion object {
        /** A frame has 64 KiB; each entry takes some 14 bytes of it. */
        const val MAX_ENTRIES = 1_000
        const val REMEMBERED = 120
    }
}
