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
 * Collects the reports of the workers whose sessions this node serves into few frames for the leader, and says of a
 * report that only repeats what the leader has from here already just that.
 */
class HeartbeatBatcher(private val ctx: Context, private val reachability: ReachabilityMatrix) {
    /** A whole report that the leader of [epoch] has answered, so it has it. */
    private class Base(val id: Long, val epoch: Long, val report: HeartbeatStatus)

    private class Open(val leader: LeadershipClaim, val echo: Long, val since: Double) {
        val reports = ArrayList<BatchedHeartbeat>()
        var bytes = 0
        var changed = false
    }

    private val bases = LinkedHashMap<String, Base>()
    private var open: Open? = null

    /** Whole reports and marks sent so far. */
    var wholes = 0L
        private set
    var marks = 0L
        private set

    /**
     * Takes [report] under the number [id] for [leader]; what was collected for another leader goes nowhere. True if it
     * goes whole: its answer shows that the leader has it.
     */
    fun add(
        id: Long,
        leader: LeadershipClaim,
        address: String,
        report: HeartbeatStatus,
        whole: Boolean = false,
    ): Boolean {
        val batch =
            open?.takeIf { it.leader.epoch == leader.epoch }
                ?: Open(leader, reachability.lastSeqFrom(leader.node), ctx.now).also { open = it }
        val base = if (whole) {
            null
        } else {
            bases[report.machine]?.takeIf {
                it.epoch == leader.epoch &&
                    saysTheSame(it.report, report)
            }
        }
        if (base == null) {
            batch.reports.add(FullHeartbeat(id, address, report))
            batch.changed = true
        } else {
            batch.reports.add(UnchangedHeartbeat(id, address, report.machine, base.id, report.seq, report.token))
        }
        batch.bytes += sizeOf(batch.reports.last())
        return base == null
    }

    /**
     * All but the number and the highest token. A notice runs down by itself, so a report with one is never the same.
     */
    private fun saysTheSame(base: HeartbeatStatus, report: HeartbeatStatus): Boolean =
        report.noticeS == null && base == report.copy(seq = base.seq, token = base.token)

    /** The leader of [epoch] has answered the whole report [id]. */
    fun answered(id: Long, epoch: Long, report: HeartbeatStatus) {
        val known = bases[report.machine]
        if (known != null && known.epoch == epoch && known.id >= id) return
        bases.remove(report.machine)
        bases[report.machine] = Base(id, epoch, report)
        if (bases.size > MAX_BASES) bases.remove(bases.keys.first())
    }

    /**
     * The frames for the leader of [epoch] that are due: at once where something changed, else after a while. What was
     * collected for another leader goes nowhere: its workers ask again. [isAwaited]: whether a report is still waited
     * for.
     */
    fun due(epoch: Long, isAwaited: (id: Long) -> Boolean): List<HeartbeatBatch> {
        val batch = open?.takeIf { it.leader.epoch == epoch } ?: return emptyList()
        if (!batch.changed && batch.bytes < MAX_BYTES && ctx.now - batch.since < UNCHANGED_WAIT_S) return emptyList()
        open = null
        val reports = batch.reports.filter { isAwaited(it.id) }
        reports.forEach { if (it is FullHeartbeat) wholes++ else marks++ }
        return frames(reports).map { HeartbeatBatch(ctx.settings.node, batch.leader.epoch, batch.echo, it) }
    }

    private fun sizeOf(sent: BatchedHeartbeat): Int =
        if (sent is FullHeartbeat) WHOLE_BYTES + sent.report.tasks.size * TASK_BYTES else MARK_BYTES

    private fun frames(reports: List<BatchedHeartbeat>): List<List<BatchedHeartbeat>> {
        val frames = ArrayList<ArrayList<BatchedHeartbeat>>()
        var bytes = MAX_BYTES
        for (r in reports) {
            val size = sizeOf(r)
            if (bytes + size > MAX_BYTES) {
                frames.add(ArrayList())
                bytes = 0
            }
            frames.last().add(r)
            bytes += size
        }
        return frames
    }

    /** This node leads itself: nothing that was collected or known counts any more. */
    fun clear() {
        open = null
        bases.clear()
    }

    private companion object {
        /** Rough sizes in a frame, rounded up. */
        const val WHOLE_BYTES = 200
        const val TASK_BYTES = 60
        const val MARK_BYTES = 90

        /** Below the largest frame, with room for what the rough sizes miss. */
        const val MAX_BYTES = 40_000
        const val UNCHANGED_WAIT_S = 0.2
        const val MAX_BASES = 4_000
    }
}
