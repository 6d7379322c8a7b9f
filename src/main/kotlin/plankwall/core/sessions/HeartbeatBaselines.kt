package plankwall.core.sessions

import plankwall.wire.BatchedHeartbeat
import plankwall.wire.FullHeartbeat
import plankwall.wire.HeartbeatStatus
import plankwall.wire.UnchangedHeartbeat

/**
 * The leader's copy of the newest whole report of each worker, by the node that sent it: what an [UnchangedHeartbeat]
 * refers to. A report that can't be told surely is not told at all: its sender is asked for the whole one.
 */
class HeartbeatBaselines {
    private class Base(val id: Long, val report: HeartbeatStatus)

    private val byNode = HashMap<String, LinkedHashMap<String, Base>>()

    /** The report that [sent] by [node] stands for, or null if that is not known here. */
    fun resolve(node: String, sent: BatchedHeartbeat): HeartbeatStatus? = when (sent) {
        is FullHeartbeat -> sent.report.also { keep(node, sent) }
        is UnchangedHeartbeat -> byNode[node]?.get(sent.machine)?.takeIf {
            it.id == sent.baseId
        }?.report?.copy(seq = sent.seq, token = sent.token)
    }

    private fun keep(node: String, sent: FullHeartbeat) {
        val bases = byNode.getOrPut(node) { LinkedHashMap() }
        val known = bases[sent.report.machine]
        // Frames may come late, and twice.
        if (known != null && known.id >= sent.id) return
        // Newest last, so that the bound drops what was not sent whole for longest.
        bases.remove(sent.report.machine)
        bases[sent.report.machine] = Base(sent.id, sent.report)
        if (bases.size > MAX_BASES) bases.remove(bases.keys.first())
    }

    private companion object {
        /** For each node: more sessions than a node has sockets for. */
        const val MAX_BASES = 4_000
    }
}
