package plankwall.core.sessions

import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.statemachine.Context
import plankwall.wire.BatchedHeartbeat
import plankwall.wire.FullHeartbeat
import plankwall.wire.HeartbeatBatch
import plankwall.wire.HeartbeatStatus
import plankwall.wire.UnchangedHeartbeat

/**
 * Collects the heartbeats of the workers whose sessions this node serves into few frames for the leader. A heartbeat
 * that only repeats one that the leader has received from this node is sent as a reference to that.
 */
class HeartbeatBatcher(private val ctx: Context, private val reachability: ReachabilityMatrix) {
    /** A full heartbeat that the leader of [epoch] has answered, so that it has it. */
    private class Baseline(val id: Long, val epoch: Long, val heartbeat: HeartbeatStatus)

    private class OpenBatch(val leader: LeadershipClaim, val echo: Long, val openedAt: Double) {
        val heartbeats = ArrayList<BatchedHeartbeat>()
        var bytes = 0
        var hasChanges = false
    }

    private val baselines = LinkedHashMap<String, Baseline>()
    private var openBatch: OpenBatch? = null

    /** Heartbeats sent in full so far. */
    var fullSent = 0L
        private set

    /** Heartbeats sent as references so far. */
    var unchangedSent = 0L
        private set

    /**
     * Adds [heartbeat] under the number [id] to the batch for [leader]; what was collected for another leader is
     * dropped. [inFull]: not as a reference. Returns whether it goes in full: its answer then proves that the leader
     * has it.
     */
    fun add(
        id: Long,
        leader: LeadershipClaim,
        address: String,
        heartbeat: HeartbeatStatus,
        inFull: Boolean = false,
    ): Boolean {
        val batch = openBatch?.takeIf { it.leader.epoch == leader.epoch }
            ?: OpenBatch(leader, reachability.lastSeqFrom(leader.node), ctx.now).also { openBatch = it }
        val baseline = if (inFull) null else baselineFor(leader, heartbeat)
        val entry = if (baseline == null) {
            batch.hasChanges = true
            FullHeartbeat(id, address, heartbeat)
        } else {
            UnchangedHeartbeat(id, address, heartbeat.machine, baseline.id, heartbeat.seq, heartbeat.token)
        }
        batch.heartbeats.add(entry)
        batch.bytes += estimatedBytes(entry)
        return baseline == null
    }

    private fun baselineFor(leader: LeadershipClaim, heartbeat: HeartbeatStatus): Baseline? =
        baselines[heartbeat.machine]?.takeIf {
            it.epoch == leader.epoch && isRepeat(it.heartbeat, heartbeat)
        }

    /**
     * Whether all but the sequence number and the token is the same. A termination notice counts down, so a heartbeat
     * with one never is.
     */
    private fun isRepeat(baseline: HeartbeatStatus, heartbeat: HeartbeatStatus): Boolean =
        heartbeat.noticeS == null && baseline == heartbeat.copy(seq = baseline.seq, token = baseline.token)

    /** The leader of [epoch] has answered [heartbeat], which was sent in full as [id]. */
    fun onAnswered(id: Long, epoch: Long, heartbeat: HeartbeatStatus) {
        val known = baselines[heartbeat.machine]
        if (known != null && known.epoch == epoch && known.id >= id) return
        baselines.remove(heartbeat.machine)
        baselines[heartbeat.machine] = Baseline(id, epoch, heartbeat)
        if (baselines.size > MAX_BASELINES) baselines.remove(baselines.keys.first())
    }

    /**
     * Takes out the frames for the leader of [epoch] that are due: at once if something changed, otherwise after a
     * while. What was collected for another leader is not sent, since its workers retry. [isAwaited]: whether the
     * answer to a heartbeat is still waited for.
     */
    fun takeDue(epoch: Long, isAwaited: (id: Long) -> Boolean): List<HeartbeatBatch> {
        val batch = openBatch?.takeIf { it.leader.epoch == epoch } ?: return emptyList()
        val isDue =
            batch.hasChanges || batch.bytes >= MAX_FRAME_BYTES || ctx.now - batch.openedAt >= UNCHANGED_DELAY_S
        if (!isDue) return emptyList()
        openBatch = null
        val awaited = batch.heartbeats.filter { isAwaited(it.id) }
        awaited.forEach { if (it is FullHeartbeat) fullSent++ else unchangedSent++ }
        return splitIntoFrames(awaited).map { HeartbeatBatch(ctx.settings.node, batch.leader.epoch, batch.echo, it) }
    }

    private fun estimatedBytes(entry: BatchedHeartbeat): Int =
        if (entry is FullHeartbeat) FULL_BYTES + entry.report.tasks.size * TASK_BYTES else UNCHANGED_BYTES

    private fun splitIntoFrames(entries: List<BatchedHeartbeat>): List<List<BatchedHeartbeat>> {
        val frames = ArrayList<ArrayList<BatchedHeartbeat>>()
        var bytes = MAX_FRAME_BYTES
        for (entry in entries) {
            val size = estimatedBytes(entry)
            if (bytes + size > MAX_FRAME_BYTES) {
                frames.add(ArrayList())
                bytes = 0
            }
            frames.last().add(entry)
            bytes += size
        }
        return frames
    }

    /** Drops what was collected and the baselines, since this node leads itself now. */
    fun clear() {
        openBatch = null
        baselines.clear()
    }

    private companion object {
        /** Rough sizes in a frame, rounded up. */
        const val FULL_BYTES = 200
        const val TASK_BYTES = 60
        const val UNCHANGED_BYTES = 90

        /** Below the largest frame, with a margin for what the rough sizes miss. */
        const val MAX_FRAME_BYTES = 40_000
        const val UNCHANGED_DELAY_S = 0.2
        const val MAX_BASELINES = 4_000
    }
}
