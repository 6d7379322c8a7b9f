package plankwall.audit

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.TokenBucket
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * Appends to the audit log of one [node], a chain of hashed entries. An entry and the change that it allows are one
 * transaction, so that neither is ever stored without the other, also when the transaction is applied late or its
 * answer is lost. One transaction at a time is in flight; what comes meanwhile goes with the next one, so that a busy
 * node writes few. Each is guarded on the newest segment's stamp and on there being none behind it: of two that claim
 * the same place in the chain only one can be applied.
 *
 * [share]: the part of the store's rate of changes that all nodes' audit logs may use together.
 */
class AuditLogWriter(private val ctx: Context, private val node: String, share: Double) {
    private val log = LoggerFactory.getLogger("audit")
    private val limits = ctx.settings.stateTight
    private var valueBytes = (limits.valueKb * 1024 * VALUE_FILL_SHARE).toInt()

    /** Changes a second that this chain may cost; a busy node gets more than the equal share. */
    private val budget = (limits.writeRps * share / ctx.settings.nodes * UNEVEN_LOAD_FACTOR).let {
        TokenBucket(ctx.time, it, maxOf(it, 1.0))
    }

    /** Below this budget entries wait for others to share a transaction with. */
    private val lowBudget = maxOf(1.0, limits.writeRps * share / ctx.settings.nodes)
    private val tailSearch = AuditChainTail(ctx, node)

    /** The end of the chain; null until it was found. */
    private var tail: AuditChainTail.End? = null
    private var isSearchingTail = false
    private var isInFlight = false

    /** After a refusal of a transaction of several: they are tried one by one. */
    private var sendsSingly = false
    private var retryAt = 0.0
    private var lastRecordsAt = 0.0
    private val changes = ArrayDeque<PendingAuditEntry>()
    private val records = ArrayDeque<PendingAuditEntry>()

    /** Stores a decision by itself; [then] learns whether it was. Refused at once if too many wait. */
    fun record(entry: AuditEntry, then: (stored: Boolean) -> Unit) = enqueue(
        records,
        PendingAuditEntry(entry, null, ctx.now, TIMEOUT_S) { then(it is StateResult.Committed) },
    )

    /**
     * Keeps a decision that is answered before it is stored until the store can be written to. False: too many are
     * kept, so it must not be answered.
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

    /** Stores a change and its decision in one transaction, or neither. */
    fun change(entry: AuditEntry, txn: StateOp.Txn, then: (StateResult) -> Unit) =
        enqueue(changes, PendingAuditEntry(entry, txn, ctx.now, TIMEOUT_S, then))

    private fun enqueue(queue: ArrayDeque<PendingAuditEntry>, item: PendingAuditEntry) {
        if (changes.size + records.size >= MAX_QUEUED) {
            item.then(StateResult.Refused)
            return
        }
        queue.addLast(item)
        sendNext()
    }

    /** Finds the chain's tail at first, gives up what waits too long, and sends what may go. */
    fun tick() {
        if (tail == null && !isSearchingTail) findTail(emptyList())
        expireOverdue(changes)
        expireOverdue(records)
        sendNext()
    }

    /** Gives up what waits too long, while its caller still listens. Nothing of it was sent, or it would not wait. */
    private fun expireOverdue(queue: ArrayDeque<PendingAuditEntry>) {
        val overdue = queue.filter { ctx.now - it.queuedAt > it.timeoutS }
        queue.removeAll(overdue.toSet())
        overdue.forEach { it.then(StateResult.Refused) }
    }

    /** Finds the chain's tail anew. What of [sent], or of what waits, turns out to be in the chain has been stored. */
    private fun findTail(sent: List<PendingAuditEntry>) {
        isSearchingTail = true
        val known = tail
        tailSearch.find(known) { found ->
            isSearchingTail = false
            if (found == null) {
                tail = known
                retryAt = ctx.now + RETRY_S
                resolveUnanswered(sent, emptySet())
                return@find
            }
            tail = found
            val storedIds = found.idsSince(known)
            resolveUnanswered(sent, storedIds)
            val stored = records.filter { it.entry.id in storedIds }
            records.removeAll(stored.toSet())
            stored.forEach { it.then(StateResult.Committed(found.version)) }
            sendNext()
        }
    }

    /**
     * What was sent and not answered: stored if its id is in the chain; else it may still be applied, so the result of
     * a change is unknown, and a record is sent again.
     */
    private fun resolveUnanswered(sent: List<PendingAuditEntry>, storedIds: Set<String>) {
        isInFlight = false
        for (item in sent.asReversed()) {
            when {
                item.entry.id in storedIds -> item.then(StateResult.Committed(tail?.version ?: 0L))
                item.txn == null -> records.addFirst(item)
                else -> item.then(StateResult.Unknown)
            }
        }
    }

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
     * Whether something waits that may go now. The first record after a quiet moment goes at once. Those behind it
     * wait to share a transaction, longer while the budget is low, so that a flood of them costs a few changes a
     * second.
     */
    private fun mayAffordNext(): Boolean {
        if (changes.isEmpty() && records.isEmpty()) return false
        val available = budget.available()
        if (available < 1) return false
        if (changes.isNotEmpty()) return true
        val waitedS = records.firstOrNull()?.let { ctx.now - it.queuedAt } ?: 0.0
        return ctx.now >= lastRecordsAt + RECORD_INTERVAL_S && (available >= lowBudget || waitedS >= MAX_RECORD_WAIT_S)
    }

    private fun fill(batch: AuditBatch, from: ArrayDeque<PendingAuditEntry>) {
        while (from.isNotEmpty()) {
            if (sendsSingly && batch.items.isNotEmpty()) return
            if (!batch.add(from.first())) return
            from.removeFirst()
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
        batch.items.forEach { it.then(result) }
        sendNext()
    }

    /** Entries whose own guards failed get the conflict; the others only shared the transaction and are sent again. */
    private fun onConflict(batch: AuditBatch, failed: Set<String>) {
        val conflicting = batch.items.filter { item -> item.guardKeys.any { it in failed } }
        val isChainConflict = batch.chainGuards.any { it.key in failed }
        requeue(batch.items - conflicting.toSet())
        isInFlight = false
        conflicting.forEach { item ->
            val own = item.guardKeys
            item.then(StateResult.Conflict(failed.filterTo(HashSet()) { it in own }))
        }
        // An earlier transaction without an answer was applied after all: the chain goes on behind it.
        if (isChainConflict) findTail(emptyList()) else sendNext()
    }

    private fun requeue(items: List<PendingAuditEntry>) {
        for (item in items.asReversed()) {
            when {
                ++item.attempts > MAX_ATTEMPTS && item.timeoutS == TIMEOUT_S -> item.then(StateResult.Refused)
                item.txn == null -> records.addFirst(item)
                else -> changes.addFirst(item)
            }
        }
    }

    /** Not executed: changes are refused to their callers, records are sent again. */
    private fun onRefused(batch: AuditBatch) {
        val (ownRecords, ownChanges) = batch.items.partition { it.txn == null }
        isInFlight = false
        retryAt = ctx.now + RETRY_S
        for (item in ownRecords.asReversed()) records.addFirst(item)
        ownChanges.forEach { it.then(StateResult.Refused) }
    }

    /** Refused for good: too large for the store, as it is. */
    private fun onRejected(batch: AuditBatch) {
        isInFlight = false
        if (batch.items.size > 1) {
            sendsSingly = true
            requeue(batch.items)
        } else if (valueBytes > MIN_VALUE_BYTES) {
            // The store takes less than was announced: later segments are smaller, the present one stays as it is.
            valueBytes = maxOf(MIN_VALUE_BYTES, valueBytes / 2)
            log.warn("audit log write refused for good, segments get smaller max_bytes={}", valueBytes)
            requeue(batch.items)
        } else {
            batch.items.forEach { it.then(StateResult.Rejected) }
        }
        sendNext()
    }

    private companion object {
        const val VALUE_FILL_SHARE = 0.95
        const val UNEVEN_LOAD_FACTOR = 2.0
        const val MAX_QUEUED = 400
        const val TIMEOUT_S = 3.0

        /** What was answered during a longer outage stands in the process's log alone. */
        const val DEFERRED_TIMEOUT_S = 600.0
        const val MAX_DEFERRED = 100
        const val RETRY_S = 0.25
        const val RECORD_INTERVAL_S = 0.25
        const val MAX_RECORD_WAIT_S = 0.5
        const val MAX_ATTEMPTS = 8
        const val MIN_VALUE_BYTES = 1024
    }
}
