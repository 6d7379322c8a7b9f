package plankwall.audit

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.TokenBucket
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * Appends to the audit log of one [node], which is a chain of hashed entries. An entry and the change that it allows
 * are stored in one transaction, so that neither is ever stored without the other, even if the transaction is applied
 * late or its answer is lost. Only one transaction at a time is in flight. Entries that arrive while it is in flight
 * share the next one, so that a busy node needs few transactions. Each transaction is guarded on the newest segment's
 * stamp and on the absence of a segment after it, so that of two transactions for the same place in the chain only one
 * can be applied.
 *
 * [writeShare]: the share of the store's write rate that the audit logs of all nodes may use together.
 */
class AuditLogWriter(private val ctx: Context, private val node: String, writeShare: Double) {
    private val log = LoggerFactory.getLogger("audit")
    private val limits = ctx.settings.strictestStateLimits

    /** The maximum number of bytes of a segment. */
    private var valueBytes = (limits.valueKb * 1024 * VALUE_FILL_SHARE).toInt()

    /** Limits this node's transactions a second. A node may use more than an equal share, since the load is uneven. */
    private val budget = (limits.writeRps * writeShare / ctx.settings.nodes * UNEVEN_LOAD_FACTOR).let {
        TokenBucket(ctx.time, it, maxOf(it, 1.0))
    }

    /** The budget below which records wait for others to share a transaction with. */
    private val lowBudget = maxOf(1.0, limits.writeRps * writeShare / ctx.settings.nodes)
    private val tailSearch = AuditChainTail(ctx, node)

    /** The end of the chain; null until it was found in the store. */
    private var tail: AuditChainTail.End? = null
    private var isSearchingTail = false
    private var isInFlight = false

    /** Whether entries are sent one by one, because the store rejected a transaction of several. */
    private var sendsSingly = false
    private var retryAt = 0.0

    /** The time at which a transaction with a record was last sent. */
    private var lastRecordsAt = 0.0

    /** The waiting entries that allow a change. */
    private val changes = ArrayDeque<PendingAuditEntry>()

    /** The waiting entries by themselves. */
    private val records = ArrayDeque<PendingAuditEntry>()

    /**
     * Stores a decision by itself. [onResult] receives whether it was stored; false at once if too many entries wait.
     */
    fun record(entry: AuditEntry, onResult: (stored: Boolean) -> Unit) = enqueue(
        records,
        PendingAuditEntry(entry, null, ctx.now, TIMEOUT_S) { onResult(it is StateResult.Committed) },
    )

    /**
     * Queues a decision on a request that is answered before the decision is stored. Returns false if too many
     * decisions wait already; then the request must not be answered.
     */
    fun recordLater(entry: AuditEntry): Boolean {
        if (records.size >= MAX_DEFERRED) return false
        enqueue(
            records,
            PendingAuditEntry(entry, null, ctx.now, DEFERRED_TIMEOUT_S) {
                if (it !is StateResult.Committed) log.error("decision could not be stored id={}", entry.id)
            },
        )
        return true
    }

    /** Stores the change [txn] and the decision that allows it in one transaction: either both or neither. */
    fun change(entry: AuditEntry, txn: StateOp.Txn, onResult: (StateResult) -> Unit) =
        enqueue(changes, PendingAuditEntry(entry, txn, ctx.now, TIMEOUT_S, onResult))

    private fun enqueue(queue: ArrayDeque<PendingAuditEntry>, item: PendingAuditEntry) {
        if (changes.size + records.size >= MAX_QUEUED) {
            item.onResult(StateResult.Refused)
            return
        }
        queue.addLast(item)
        sendNext()
    }

    /** Looks up the end of the chain if it is unknown, refuses overdue entries, and sends what may be sent. */
    fun tick() {
        if (tail == null && !isSearchingTail) findTail(emptyList())
        expireOverdue(changes)
        expireOverdue(records)
        sendNext()
    }

    /** Refuses entries in [queue] that waited too long, while their callers still listen. None of them is in flight. */
    private fun expireOverdue(queue: ArrayDeque<PendingAuditEntry>) {
        val overdue = queue.filter { ctx.now - it.queuedAt > it.timeoutS }
        queue.removeAll(overdue.toSet())
        overdue.forEach { it.onResult(StateResult.Refused) }
    }

    /** Finds the end of the chain in the store. The entries of [sent] and waiting records that it holds are stored. */
    private fun findTail(sent: List<PendingAuditEntry>) {
        isSearchingTail = true
        val knownTail = tail
        tailSearch.find(knownTail) { foundTail ->
            isSearchingTail = false
            if (foundTail == null) {
                tail = knownTail
                retryAt = ctx.now + RETRY_S
                resolveUnanswered(sent, emptySet())
                return@find
            }
            tail = foundTail
            val storedIds = foundTail.idsSince(knownTail)
            resolveUnanswered(sent, storedIds)
            val stored = records.filter { it.entry.id in storedIds }
            records.removeAll(stored.toSet())
            stored.forEach { it.onResult(StateResult.Committed(foundTail.version)) }
            sendNext()
        }
    }

    /**
     * Completes the entries of a transaction that was [sent] and not answered. Those whose id is in the chain are
     * stored. The others may still be applied: the result of a change is unknown, and a record is queued again.
     */
    private fun resolveUnanswered(sent: List<PendingAuditEntry>, storedIds: Set<String>) {
        isInFlight = false
        for (item in sent.asReversed()) {
            when {
                item.entry.id in storedIds -> item.onResult(StateResult.Committed(tail?.version ?: 0L))
                item.txn == null -> records.addFirst(item)
                else -> item.onResult(StateResult.Unknown)
            }
        }
    }

    /** Sends the next transaction if entries wait, none is in flight, and the budget permits it. */
    private fun sendNext() {
        val chainTail = tail ?: return
        if (isInFlight || isSearchingTail || ctx.now < retryAt || !mayAffordNext()) return
        val batch = AuditBatch(node, chainTail, limits, valueBytes)
        fill(batch, changes)
        if (!sendsSingly || batch.items.isEmpty()) fill(batch, records)
        if (batch.items.isEmpty()) return
        budget.spend(1)
        if (batch.items.any { it.txn == null }) lastRecordsAt = ctx.now
        send(batch)
    }

    /**
     * Whether entries wait and the budget permits a transaction now. Changes are sent at once, and so is a record if
     * none was sent for a moment. The records after it wait to share a transaction, longer while the budget is low, so
     * that a flood of records costs only a few transactions a second.
     */
    private fun mayAffordNext(): Boolean {
        if (changes.isEmpty() && records.isEmpty()) return false
        val available = budget.available()
        if (available < 1) return false
        if (changes.isNotEmpty()) return true
        val waitedS = records.firstOrNull()?.let { ctx.now - it.queuedAt } ?: 0.0
        return ctx.now >= lastRecordsAt + RECORD_INTERVAL_S && (available >= lowBudget || waitedS >= MAX_RECORD_WAIT_S)
    }

    /** Moves entries from [queue] to [batch] as long as they fit. */
    private fun fill(batch: AuditBatch, queue: ArrayDeque<PendingAuditEntry>) {
        while (queue.isNotEmpty()) {
            if (sendsSingly && batch.items.isNotEmpty()) return
            if (!batch.add(queue.first())) return
            queue.removeFirst()
        }
    }

    private fun send(batch: AuditBatch) {
        isInFlight = true
        ctx.out.state(batch.transaction()) { result ->
            when (result) {
                is StateResult.Committed -> onCommitted(batch, result)
                is StateResult.Conflict -> onConflict(batch, result.failed)
                StateResult.Refused -> onRefused(batch)
                StateResult.Rejected -> onRejected(batch)
                else -> findTail(batch.items)
            }
        }
    }

    private fun onCommitted(batch: AuditBatch, result: StateResult.Committed) {
        tail = batch.tailAfterCommit(result.revision)
        isInFlight = false
        sendsSingly = false
        batch.items.forEach { it.onResult(result) }
        sendNext()
    }

    /**
     * Reports the conflict to the entries whose own guards [failed]. The others only shared the transaction, and are
     * sent again.
     */
    private fun onConflict(batch: AuditBatch, failed: Set<String>) {
        val conflicting = batch.items.filter { item -> item.guardKeys.any { it in failed } }
        val isChainConflict = batch.chainGuards.any { it.key in failed }
        requeue(batch.items - conflicting.toSet())
        isInFlight = false
        conflicting.forEach { item ->
            val guardKeys = item.guardKeys
            item.onResult(StateResult.Conflict(failed.filterTo(HashSet()) { it in guardKeys }))
        }
        // The chain has a new end, because an earlier transaction that was not answered has been applied after all.
        if (isChainConflict) findTail(emptyList()) else sendNext()
    }

    /**
     * Puts [items] back in front of their queues. Those that were sent too often are refused, unless they are deferred.
     */
    private fun requeue(items: List<PendingAuditEntry>) {
        for (item in items.asReversed()) {
            when {
                ++item.attempts > MAX_ATTEMPTS && item.timeoutS == TIMEOUT_S -> item.onResult(StateResult.Refused)
                item.txn == null -> records.addFirst(item)
                else -> changes.addFirst(item)
            }
        }
    }

    /** Handles a transaction that was not executed: its changes are refused, its records are queued again. */
    private fun onRefused(batch: AuditBatch) {
        val (batchRecords, batchChanges) = batch.items.partition { it.txn == null }
        isInFlight = false
        retryAt = ctx.now + RETRY_S
        for (item in batchRecords.asReversed()) records.addFirst(item)
        batchChanges.forEach { it.onResult(StateResult.Refused) }
    }

    /** Handles a transaction that the store will never accept, since it is too large. */
    private fun onRejected(batch: AuditBatch) {
        isInFlight = false
        if (batch.items.size > 1) {
            sendsSingly = true
            requeue(batch.items)
        } else if (valueBytes > MIN_VALUE_BYTES) {
            // The store accepts smaller values than its limits promise. New segments get smaller; the last one stays.
            valueBytes = maxOf(MIN_VALUE_BYTES, valueBytes / 2)
            log.warn("audit log write refused for good, segments get smaller max_bytes={}", valueBytes)
            requeue(batch.items)
        } else {
            batch.items.forEach { it.onResult(StateResult.Rejected) }
        }
        sendNext()
    }

    private companion object {
        /** The share of the largest value that a segment may take. */
        const val VALUE_FILL_SHARE = 0.95

        /** The factor by which one node may exceed an equal share of the write rate. */
        const val UNEVEN_LOAD_FACTOR = 2.0
        const val MAX_QUEUED = 400

        /** The time for which a caller waits for an entry. */
        const val TIMEOUT_S = 3.0

        /** The time for which a deferred entry waits. After a longer outage only the process's log reports it. */
        const val DEFERRED_TIMEOUT_S = 600.0
        const val MAX_DEFERRED = 100
        const val RETRY_S = 0.25

        /** The time after a transaction with a record before another one is sent for records alone. */
        const val RECORD_INTERVAL_S = 0.25

        /** The time that records wait at most to share a transaction while the budget is low. */
        const val MAX_RECORD_WAIT_S = 0.5
        const val MAX_ATTEMPTS = 8
        const val MIN_VALUE_BYTES = 1024
    }
}
