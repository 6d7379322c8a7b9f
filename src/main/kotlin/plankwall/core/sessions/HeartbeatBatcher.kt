package plankwall.core.sessions

import com.google.common.base.Utf8
import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.statemachine.Context
import plankwall.wire.BatchedHeartbeat
import plankwall.wire.FullHeartbeat
import plankwall.wire.HeartbeatBatch
import plankwall.wire.HeartbeatStatus
import plankwall.wire.UnchangedHeartbeat

/**
 * Collects the heartbeats of the workers whose sessions this node serves into a few large frames for the leader. A
 * heartbeat that only repeats one that the leader has received from this node, the baseline, is sent as a reference to
 * it.
 */
class HeartbeatBatcher(private val ctx: Context, private val reachability: ReachabilityMatrix) {
    /** A heartbeat that was sent in full as [id] and is known to the leader of [epoch], since that answered it. */
    private class Baseline(val id: Long, val epoch: Long, val heartbeat: HeartbeatStatus)

    /**
     * The heartbeats collected for [leader] and not sent yet. [echo] is the sequence number of the leader's newest
     * frame when the batch was opened, at [openedAt] in seconds.
     */
    private class OpenBatch(val leader: LeadershipClaim, val echo: Long, val openedAt: Double) {
        val heartbeats = ArrayList<BatchedHeartbeat>()
        var bytes = 0
        var hasChanges = false
    }

    private val baselines = LinkedHashMap<String, Baseline>()
    private var openBatch: OpenBatch? = null

    /** The number of heartbeats sent in full so far. */
    var fullSentCount = 0L
        private set

    /** The number of heartbeats sent as references so far. */
    var unchangedSentCount = 0L
        private set

    /**
     * Adds [heartbeat] under the number [id] to the batch for [leader]; a batch that was collected for another leader
     * is dropped. With [forceFull] the heartbeat is never sent as a reference. Returns whether it is sent in full: its
     * answer then proves that the leader knows it, and the caller reports that to [onAnswered].
     *
     * @param address where the heartbeat came from, or empty
     */
    fun add(
        id: Long,
        leader: LeadershipClaim,
        address: String,
        heartbeat: HeartbeatStatus,
        forceFull: Boolean = false,
    ): Boolean {
        val batch = openBatch?.takeIf { it.leader.epoch == leader.epoch }
            ?: OpenBatch(leader, reachability.lastSeqFrom(leader.node), ctx.now).also { openBatch = it }
        val baseline = if (forceFull) null else baselineFor(leader, heartbeat)
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

    /** Returns the baseline that [heartbeat] repeats, or null if it has to be sent to [leader] in full. */
    private fun baselineFor(leader: LeadershipClaim, heartbeat: HeartbeatStatus): Baseline? =
        baselines[heartbeat.machine]?.takeIf {
            it.epoch == leader.epoch && isRepeat(it.heartbeat, heartbeat)
        }

    /**
     * Whether [heartbeat] equals [baseline] except for its sequence number and token. A heartbeat with a termination
     * notice never counts as a repeat, since the remaining time in the notice counts down.
     */
    private fun isRepeat(baseline: HeartbeatStatus, heartbeat: HeartbeatStatus): Boolean =
        heartbeat.noticeS == null && baseline == heartbeat.copy(seq = baseline.seq, token = baseline.token)

    /** Keeps [heartbeat] as a baseline: it was sent in full as [id], and the leader of [epoch] has answered it. */
    fun onAnswered(id: Long, epoch: Long, heartbeat: HeartbeatStatus) {
        val existing = baselines[heartbeat.machine]
        if (existing != null && existing.epoch == epoch && existing.id >= id) return
        baselines.remove(heartbeat.machine)
        baselines[heartbeat.machine] = Baseline(id, epoch, heartbeat)
        if (baselines.size > MAX_BASELINES) baselines.remove(baselines.keys.first())
    }

    /**
     * Removes the collected heartbeats for the leader of [epoch] and returns them as frames, once they are due; returns
     * an empty list before. They are due at once if one of them is sent in full or the batch is as large as a frame,
     * otherwise after [UNCHANGED_DELAY_S]. Heartbeats collected for another leader are not sent, since their workers
     * retry. Those for which [isAwaited] is false are left out: no worker waits for the answer to them any more.
     */
    fun takeDue(epoch: Long, isAwaited: (id: Long) -> Boolean): List<HeartbeatBatch> {
        val batch = openBatch?.takeIf { it.leader.epoch == epoch } ?: return emptyList()
        val isDue =
            batch.hasChanges || batch.bytes >= MAX_FRAME_BYTES || ctx.now - batch.openedAt >= UNCHANGED_DELAY_S
        if (!isDue) return emptyList()
        openBatch = null
        val awaited = batch.heartbeats.filter { isAwaited(it.id) }
        awaited.forEach { if (it is FullHeartbeat) fullSentCount++ else unchangedSentCount++ }
        return splitIntoFrames(awaited).map { HeartbeatBatch(ctx.settings.node, batch.leader.epoch, batch.echo, it) }
    }

    /** Returns at least the bytes that [entry] takes in a frame, whatever its names. */
    private fun estimatedBytes(entry: BatchedHeartbeat): Int {
        val addressBytes = Utf8.encodedLength(entry.address)
        return addressBytes + when (entry) {
            is UnchangedHeartbeat -> FIXED_BYTES + Utf8.encodedLength(entry.machine)
            is FullHeartbeat -> FIXED_BYTES + estimatedBytes(entry.heartbeat)
        }
    }

    private fun estimatedBytes(heartbeat: HeartbeatStatus): Int {
        val names = listOf(heartbeat.machine, heartbeat.address, heartbeat.type, heartbeat.zone)
        return names.sumOf { Utf8.encodedLength(it) } +
            heartbeat.tasks.sumOf { TASK_STATUS_BYTES + Utf8.encodedLength(it.jobId) }
    }

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

    /** Drops the open batch and all baselines. Called when this node becomes the leader. */
    fun clear() {
        openBatch = null
        baselines.clear()
    }

    private companion object {
        // The sizes of a heartbeat and of a task in it without their names, rounded up.
        const val FIXED_BYTES = 80
        const val TASK_STATUS_BYTES = 20

        /** Below the size limit of a frame, with a margin for what frames hold besides heartbeats. */
        const val MAX_FRAME_BYTES = 40_000

        /** The time that unchanged heartbeats wait for others to share a frame with, in seconds. */
        const val UNCHANGED_DELAY_S = 0.2
        const val MAX_BASELINES = 4_000
    }
}
