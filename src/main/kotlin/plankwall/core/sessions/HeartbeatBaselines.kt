package plankwall.core.sessions

import plankwall.wire.BatchedHeartbeat
import plankwall.wire.FullHeartbeat
import plankwall.wire.HeartbeatStatus
import plankwall.wire.UnchangedHeartbeat

/**
 * The leader's copies of the newest full heartbeat of each worker, by the node that relayed it. An [UnchangedHeartbeat]
 * refers to such a copy, called its baseline. If the baseline is not known, the leader does not guess the content but
 * asks the sender for the full heartbeat.
 */
class HeartbeatBaselines {
    private class Baseline(val id: Long, val heartbeat: HeartbeatStatus)

    private val baselinesByNode = HashMap<String, LinkedHashMap<String, Baseline>>()

    /** Returns the full content of [batched], which [node] sent, or null if the baseline that it names is not known. */
    fun resolve(node: String, batched: BatchedHeartbeat): HeartbeatStatus? = when (batched) {
        is FullHeartbeat -> batched.heartbeat.also { storeBaseline(node, batched) }
        is UnchangedHeartbeat ->
            baselinesByNode[node]?.get(batched.machine)
                ?.takeIf { it.id == batched.baseId }
                ?.heartbeat?.copy(seq = batched.seq, token = batched.token)
    }

    private fun storeBaseline(node: String, batched: FullHeartbeat) {
        val baselines = baselinesByNode.getOrPut(node) { LinkedHashMap() }
        val existing = baselines[batched.heartbeat.machine]
        // Frames may arrive late or twice, so an older heartbeat must not replace a newer one.
        if (existing != null && existing.id >= batched.id) return
        // Moves the baseline to the end, so that the limit drops the one that was sent in full least recently.
        baselines.remove(batched.heartbeat.machine)
        baselines[batched.heartbeat.machine] = Baseline(batched.id, batched.heartbeat)
        if (baselines.size > MAX_BASELINES) baselines.remove(baselines.keys.first())
    }

    private companion object {
        /** The limit for each node, above the number of sessions that a node has sockets for. */
        const val MAX_BASELINES = 4_000
    }
}
