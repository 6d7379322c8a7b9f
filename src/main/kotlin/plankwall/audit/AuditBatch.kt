package plankwall.audit

import plankwall.model.StateLimits
import plankwall.wire.AccessKeys
import plankwall.wire.AuditSegment
import plankwall.wire.Guard
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.Write

/**
 * Builds one transaction on the audit chain of [node]. It appends entries behind the chain's [tail], to the last
 * segment or, if they don't fit there, to a new one, and applies the changes that these entries allow. [valueBytes]:
 * the most bytes that a segment may take.
 */
internal class AuditBatch(
    private val node: String,
    private val tail: AuditChainTail.End,
    private val limits: StateLimits,
    private val valueBytes: Int,
) {
    private val entries = ArrayList<PendingAuditEntry>()
    private val lines = ArrayList<String>()

    /** The keys that the changes in this batch write. */
    private val writtenKeys = HashSet<String>()
    private var lastHash = tail.hash
    private var segmentBytes = if (tail.version > 0) tail.size else EMPTY_SEGMENT_BYTES

    /** Whether the entries go into a new segment. */
    private var startsSegment = false
    private var writeCount = 1
    private var guardCount = OWN_GUARDS
    private var changeBytes = OVERHEAD_BYTES

    /** The entries of this batch, in the order of the chain. */
    val items: List<PendingAuditEntry> get() = entries

    /**
     * Adds [item] and returns true if it still fits. The first item is always added: the store refuses one that is too
     * large by itself.
     */
    fun add(item: PendingAuditEntry): Boolean {
        val line = AuditLines.write(tail.next + lines.size, lastHash, node, item.entry)
        val size = ItemSize(line, item.txn)
        if (segmentBytes + size.lineBytes > valueBytes) {
            // A new segment is started only by the first entry of a transaction. Others wait for the next transaction.
            if (entries.isNotEmpty()) return false
            if (tail.version != 0L) {
                startsSegment = true
                segmentBytes = EMPTY_SEGMENT_BYTES
            }
        } else if (entries.isNotEmpty() && (exceedsLimits(size) || touchesSameKey(item.txn))) {
            return false
        }
        append(item, line, size)
        return true
    }

    /** The contribution of one item to a transaction. */
    private class ItemSize(line: String, txn: StateOp.Txn?) {
        val lineBytes = AuditChainTail.sizeOf(line)
        val writeCount = txn?.writes?.size ?: 0
        val guardCount = txn?.guards?.size ?: 0
        val changeBytes = txn?.let { StateCodec.writeTransaction(it).size } ?: 0
    }

    private fun exceedsLimits(size: ItemSize): Boolean = writeCount + size.writeCount > limits.txnOps ||
        guardCount + size.guardCount > limits.txnOps * GUARDS_PER_WRITE ||
        changeBytes + segmentBytes + size.lineBytes + size.changeBytes > MAX_TRANSACTION_BYTES

    private fun touchesSameKey(txn: StateOp.Txn?): Boolean = txn != null && txn.writes.any { keyOf(it) in writtenKeys }

    private fun append(item: PendingAuditEntry, line: String, size: ItemSize) {
        entries.add(item)
        lines.add(line)
        lastHash = AuditLines.hash(line)
        segmentBytes += size.lineBytes
        writeCount += size.writeCount
        guardCount += size.guardCount
        changeBytes += size.changeBytes
        item.txn?.writes?.forEach { writtenKeys.add(keyOf(it)) }
    }

    private val segmentNumber: Long get() = if (startsSegment) tail.segment + 1 else tail.segment

    /**
     * The guards on the last segment and on the absence of a segment behind it, so that a delayed write to the last
     * segment can't be applied once a new segment was started.
     */
    val chainGuards: List<Guard>
        get() = listOf(
            Guard(AccessKeys.segment(node, tail.segment), tail.version),
            Guard(AccessKeys.segment(node, tail.segment + 1), 0),
        )

    /** The content of the segment that the transaction writes. */
    private fun segment(): AuditSegment = if (startsSegment || tail.version == 0L) {
        AuditSegment(tail.next, tail.hash, lines.toList())
    } else {
        AuditSegment(tail.first, tail.before, tail.lines + lines)
    }

    /** Returns the transaction, with the guards and changes of all entries. */
    fun transaction(): StateOp.Txn {
        val guards = (chainGuards + entries.flatMap { it.txn?.guards.orEmpty() }).distinct()
        val segmentWrite = Write.Put(AccessKeys.segment(node, segmentNumber), segment())
        return StateOp.Txn(guards, listOf(segmentWrite) + entries.flatMap { it.txn?.writes.orEmpty() })
    }

    /** Returns the chain's tail after this batch was committed at [revision]. */
    fun tailAfterCommit(revision: Long): AuditChainTail.End = AuditChainTail.End(segmentNumber, revision, segment())

    private fun keyOf(write: Write): String = when (write) {
        is Write.Put -> write.key
        is Write.Remove -> write.key
    }

    private companion object {
        /** The bytes that a segment takes as a stored value without its lines. */
        const val EMPTY_SEGMENT_BYTES = 90

        /** The number of bytes of a transaction besides its segment and changes. */
        const val OVERHEAD_BYTES = 400

        /** The number of guards of the batch itself, besides those of its changes. */
        const val OWN_GUARDS = 3

        /** The number of guards that a transaction may hold for each write that the store's limits permit. */
        const val GUARDS_PER_WRITE = 4
        const val MAX_TRANSACTION_BYTES = 56_000
    }
}
