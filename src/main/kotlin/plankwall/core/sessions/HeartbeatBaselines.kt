package plankwall.core.sessions

import plankwall.wire.BatchedHeartbeat
import plankwall.wire.FullHeartbeat
import plankwall.wire.HeartbeatStatus
import plankwall.wire.UnchangedHeartbeat

/**
 * The leader's copy of the newest full heartbeat of each worker, by the node that sent it: what an
 * [UnchangedHeartbeat] refers to. A reference that can't be resolved is not guessed: its sender is asked for the full
 * heartbeat.
 */
class HeartbeatBaselines {
    private class Baseline(val id: Long, val heartbeat: HeartbeatStatus)

    private val byNode = HashMap<String, LinkedHashMap<String, Baseline>>()

    /** The heartbeat that [sent] by [node] stands for, or null if the one that it refers to is not known here. */
    fun resolve(node: String, sent: BatchedHeartbeat): HeartbeatStatus? = when (sent) {
        is FullHeartbeat -> sent.report.also { keep(node, sent) }
        is UnchangedHeartbeat ->
            byNode[node]?.get(sent.machine)
                ?.takeIf { it.id == sent.baseId }
                ?.heartbeat?.copy(seq = sent.seq, token = sent.token)
    }

    private fun keep(node: String, sent: FullHeartbeat) {
        val baselines = byNode.getOrPut(node) { LinkedHashMap() }
        val known = baselines[sent.report.machine]
        // Frames may come late, and twice.
        if (known != null && known.id >= sent.id) return
        // Newest last, so that the bound drops what was not sent in full for longest.
        baselines.remove(sent.report.machine)
        baselines[sent.report.machine] = Baseline(sent.id, sent.report)
        if (baselines.size > MAX_BASELINES) baselines.remove(baselines.keys.first())
    }

    private companion object {
        /** For each node: more sessions than a node has sockets for. */
        const val MAX_BASELINES = 4_000
    }
}
