package plankwall.audit

import plankwall.model.StateLimits
import plankwall.wire.AccessKeys
import plankwall.wire.AuditSegment
import plankwall.wire.Guard
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.Write

/**
 * One transaction on the chain of [node]: entries behind the chain's [tail], in its last segment or, where they don't
 * fit, in a new one, together with the changes that they allow. [valueBytes]: the most that a segment may take.
 */
internal class AuditBatch(
    private val node: String,
    private val tail: AuditChainTail.End,
    private val limits: StateLimits,
    private val valueBytes: Int,
) {
    private val entries = ArrayList<PendingAuditEntry>()
    private val lines = ArrayList<String>()
    private val writtenKeys = HashSet<String>()
    private var lastHash = tail.hash
    private var segmentBytes = if (tail.version > 0) tail.size else EMPTY_SEGMENT_BYTES
    private var startsSegment = false
    private var writeCount = 1
    private var guardCount = OWN_GUARDS
    private var changeBytes = OVERHEAD_BYTES

    /** The entries of this batch, in the order of the chain. */
    val items: List<PendingAuditEntry> get() = entries

    /** Adds [item] if it still fits. The first always does: what is too large alone, the store refuses. */
    fun add(item: PendingAuditEntry): Boolean {
        val line = AuditLines.write(tail.next + lines.size, lastHash, node, item.entry)
        val size = ItemSize(line, item.txn)
        if (segmentBytes + size.line > valueBytes) {
            // Only the first entry of a transaction starts a new segment; the others wait for the next transaction.
            if (entries.isNotEmpty()) return false
            if (tail.version != 0L) {
                startsSegment = true
                segmentBytes = EMPTY_SEGMENT_BYTES
            }
        } else if (entries.isNotEmpty() && (isFull(size) || touchesSameKey(item.txn))) {
            return false
        }
        append(item, line, size)
        return true
    }

    private class ItemSize(line: String, txn: StateOp.Txn?) {
        val line = AuditChainTail.sizeOf(line)
        val writes = txn?.writes?.size ?: 0
        val guards = txn?.guards?.size ?: 0
        val change = txn?.let { StateCodec.txn(it).size } ?: 0
    }

    private fun isFull(size: ItemSize): Boolean = writeCount + size.writes > limits.txnOps ||
        guardCount + size.guards > limits.txnOps * GUARDS_PER_WRITE ||
        changeBytes + segmentBytes + size.line + size.change > MAX_TRANSACTION_BYTES

    private fun touchesSameKey(txn: StateOp.Txn?): Boolean = txn != null && txn.writes.any { keyOf(it) in writtenKeys }

    private fun append(item: PendingAuditEntry, line: String, size: ItemSize) {
        entries.add(item)
        lines.add(line)
        lastHash = AuditLines.hash(line)
        segmentBytes += size.line
        writeCount += size.writes
        guardCount += size.guards
        changeBytes += size.change
        item.txn?.writes?.forEach { writtenKeys.add(keyOf(it)) }
    }

    private val segmentNumber: Long get() = if (startsSegment) tail.segment + 1 else tail.segment

    /**
     * Guards on the last segment and on there being none behind it, so that a late write can't follow a new segment.
     */
    val chainGuards: List<Guard>
        get() = listOf(
            Guard(AccessKeys.segment(node, tail.segment), tail.version),
            Guard(AccessKeys.segment(node, tail.segment + 1), 0),
        )

    private fun segment(): AuditSegment = if (startsSegment || tail.version == 0L) {
        AuditSegment(tail.next, tail.hash, lines.toList())
    } else {
        AuditSegment(tail.first, tail.before, tail.lines + lines)
    }

    /** The whole transaction. */
    fun transaction(): StateOp.Txn {
        val guards = (chainGuards + entries.flatMap { it.txn?.guards.orEmpty() }).distinct()
        val segmentWrite = Write.Put(AccessKeys.segment(node, segmentNumber), segment())
        return StateOp.Txn(guards, listOf(segmentWrite) + entries.flatMap { it.txn?.writes.orEmpty() })
    }

    /** The chain's tail once this batch was committed at [revision]. */
    fun tailAfterCommit(revision: Long): AuditChainTail.End = AuditChainTail.End(segmentNumber, revision, segment())

    private fun keyOf(write: Write): String = when (write) {
        is Write.Put -> write.key
        is Write.Remove -> write.key
    }

    private companion object {
        const val EMPTY_SEGMENT_BYTES = 90
        const val OVERHEAD_BYTES = 400
        const val OWN_GUARDS = 3
        const val GUARDS_PER_WRITE = 4
        const val MAX_TRANSACTION_BYTES = 56_000
    }
}
