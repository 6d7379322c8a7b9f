package plankwall.simulation

import plankwall.model.StateLimits
import plankwall.wire.StateCodec
import plankwall.wire.StateEvent
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Stored
import plankwall.wire.Write
import java.util.TreeMap

/**
 * An in-memory state service as the protocol specifies it: a key-value store with revisions, transactions, leases and
 * watches. [rates] holds the allowed request and write rates.
 */
class SimulatedStore(private val clock: SimulatedClock, rates: StateLimits) {
    /** A stored value; [version] is the revision that wrote it, [lease] the lease that it ends with, or null. */
    private class Entry(val value: Stored, val version: Long, val lease: Long?)

    /** A lease of [ttlS] seconds, which ends at [expiresAt] unless it is renewed. */
    private class Lease(val ttlS: Double, var expiresAt: Double)

    /** An unanswered watch; [isOpen] turns false with its one answer. */
    private class Watcher(val op: StateOp.Watch, val answer: (StateResult) -> Unit, var isOpen: Boolean = true)

    private val entries = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()

    /** All changes that are kept, in the order of their revisions. */
    private val history = ArrayList<StateEvent>()

    /**
     * The least number of changes to keep in the history; a request for older ones is answered [StateResult.TooOld].
     */
    var historyLimit = Int.MAX_VALUE

    /** The highest revision that was dropped from the history. */
    private var trimmedUpTo = 0L
    private val watchers = ArrayList<Watcher>()

    /**
     * The revision of the last change; a transaction with writes, a direct put, and a lease that ends with its keys add
     * one.
     */
    private var revision = 0L
    private var nextLease = 1L

    /** Whether the service is down. When it comes back, every lease gets its full time again. */
    var outage = false
        set(value) {
            if (field && !value) leases.values.forEach { it.expiresAt = clock.now + it.ttlS }
            field = value
        }

    /**
     * Whether requests beyond the rates of the settings are refused, as the real service does. If not, they are
     * executed and only counted in [requestMeter] and [writeMeter].
     */
    var refusesBeyondRates = false

    /**
     * The limits that are enforced, or null for none. Transactions that exceed a size limit are rejected permanently;
     * writes beyond twice the write rate within a second are refused temporarily.
     */
    var limits: StateLimits? = null
    private var currentSecond = -1L
    private var changesInSecond = 0

    /** The number of permanent rejections of each oversized key or transaction size. */
    val rejectionCounts = HashMap<String, Int>()

    /** Stores [value] under [key] directly, outside any transaction; watches are not answered. */
    fun put(key: String, value: Stored) {
        entries[key] = Entry(value, ++revision, null)
        history.add(StateEvent(key, value, revision))
    }

    /** Returns the value under [key], or null if there is none. */
    fun value(key: String): Stored? = entries[key]?.value

    /** Returns the values of all keys that begin with [prefix], in the order of the keys. */
    fun values(prefix: String): List<Stored> = entries.subMap(prefix, prefix + Char.MAX_VALUE).values.map { it.value }

    /** Returns the revision of the first change of [key] in the history, or 0 if there is none. */
    fun firstVersion(key: String): Long = history.firstOrNull { it.key == key }?.version ?: 0L

    /** Returns the revision that wrote the present value of [key], or 0 if there is none. */
    fun version(key: String): Long = entries[key]?.version ?: 0L

    /** All keys that have a value. */
    val keys: Set<String> get() = entries.keys

    /** The number of puts and deletes executed so far in transactions. */
    var changes = 0
        private set

    /** Counts requests against the allowed request rate. */
    val requestMeter = Meter(rates.rps)

    /** Counts puts and deletes in transactions against the allowed write rate. */
    val writeMeter = Meter(rates.writeRps)

    /**
     * Counts what the service would answer with 429, with a token bucket: events beyond [rate] a second are counted in
     * [exceededCount], except for bursts of up to [burstS] seconds' worth of events.
     */
    class Meter(private val rate: Double, burstS: Double = 1.0) {
        private val maxAvailable = rate * burstS
        private var available = maxAvailable
        private var updatedAt = 0.0

        /** The number of events so far that exceeded the rate. */
        var exceededCount = 0
            private set

        /** Counts [count] events at [now] and returns whether they stay within the rate. */
        fun tryConsume(now: Double, count: Int): Boolean {
            available = minOf(maxAvailable, available + (now - updatedAt) * rate)
            updatedAt = now
            if (count > available) {
                exceededCount += count
                return false
            }
            available -= count
            return true
        }
    }

    init {
        clock.every(0.05) { expireLeases() }
    }

    private fun expireLeases() {
        if (outage) return
        val expiredLeases = leases.filterValues { it.expiresAt <= clock.now }.keys
        expiredLeases.forEach { endLease(it) }
    }

    /** Ends the lease [id] and deletes the keys that were written with it. */
    private fun endLease(id: Long) {
        leases.remove(id)
        val attachedKeys = entries.filterValues { it.lease == id }.keys.toList()
        if (attachedKeys.isEmpty()) return
        revision++
        attachedKeys.forEach {
            entries.remove(it)
            history.add(StateEvent(it, null, revision))
        }
        answerWatchers()
    }

    /**
     * Executes a call and passes its result to [answer]: at once, or, for a watch, with the next change or its timeout.
     */
    fun run(op: StateOp, answer: (StateResult) -> Unit) {
        val isWithinRates =
            requestMeter.tryConsume(clock.now, 1) and
                (op !is StateOp.Txn || writeMeter.tryConsume(clock.now, op.writes.size))
        if (refusesBeyondRates && !isWithinRates) return answer(StateResult.Refused)
        if (op is StateOp.Watch) addWatcher(op, answer) else answer(if (outage) StateResult.Refused else apply(op))
    }

    private fun apply(op: StateOp): StateResult = when (op) {
        is StateOp.Get -> StateResult.Item(entries[op.key]?.let { StateItem(op.key, it.value, it.version) })
        is StateOp.Range -> {
            val matching = entries.tailMap(op.after ?: op.prefix, op.after == null)
                .filterKeys { it.startsWith(op.prefix) }.entries.take(op.limit + 1)
            val items = matching.take(op.limit).map { StateItem(it.key, it.value.value, it.value.version) }
            StateResult.Items(items, matching.size > op.limit, revision)
        }
        is StateOp.Txn -> commit(op)
        is StateOp.Grant -> {
            val id = nextLease++
            leases[id] = Lease(op.ttlMs / 1000.0, clock.now + op.ttlMs / 1000.0)
            StateResult.Granted(id)
        }
        is StateOp.Renew -> leases[op.lease]?.let {
            it.expiresAt = clock.now + it.ttlS
            StateResult.Renewed
        } ?: StateResult.NoLease
        is StateOp.Drop -> {
            endLease(op.lease)
            StateResult.Renewed
        }
        is StateOp.Changes -> changesResult(op.prefix, op.after)
        is StateOp.Watch -> error("a watch is answered by addWatcher, not here")
    }

    /** Returns why [op] exceeds [limits], or null if it does not. */
    private fun checkLimits(op: StateOp.Txn, limits: StateLimits): StateResult? {
        val oversized = op.writes.filterIsInstance<Write.Put>().filter {
            StateCodec.sizeOf(it.value) > limits.valueKb * 1024
        }
        oversized.forEach { rejectionCounts.merge(it.key, 1, Int::plus) }
        if (op.writes.size > limits.txnOps) rejectionCounts.merge("${op.writes.size} changes", 1, Int::plus)
        if (op.guards.size > limits.txnOps * 4) rejectionCounts.merge("${op.guards.size} guards", 1, Int::plus)
        if (oversized.isNotEmpty() || op.writes.size > limits.txnOps || op.guards.size > limits.txnOps * 4) {
            return StateResult.Rejected
        }
        if (clock.now.toLong() != currentSecond) changesInSecond = 0
        currentSecond = clock.now.toLong()
        changesInSecond += op.writes.size
        return if (changesInSecond > limits.writeRps * 2) StateResult.Refused else null
    }

    /** Returns the result with which [op] is refused, or null if it can be applied. */
    private fun refusalOf(op: StateOp.Txn): StateResult? {
        limits?.let { activeLimits -> checkLimits(op, activeLimits)?.let { return it } }
        val conflictingKeys = op.guards.filter { (entries[it.key]?.version ?: 0L) != it.version }.map { it.key }.toSet()
        val hasLostLease = op.writes.any { it is Write.Put && it.lease != null && it.lease !in leases }
        return when {
            conflictingKeys.isNotEmpty() -> StateResult.Conflict(conflictingKeys)
            hasLostLease -> StateResult.Refused
            else -> null
        }
    }

    private fun commit(op: StateOp.Txn): StateResult {
        refusalOf(op)?.let { return it }
        if (op.writes.isEmpty()) return StateResult.Committed(revision)
        revision++
        changes += op.writes.size
        for (write in op.writes) {
            when (write) {
                is Write.Put -> {
                    entries[write.key] = Entry(write.value, revision, write.lease)
                    history.add(StateEvent(write.key, write.value, revision))
                }
                is Write.Remove ->
                    if (entries.remove(write.key) != null) history.add(StateEvent(write.key, null, revision))
            }
        }
        val result = StateResult.Committed(revision)
        trimHistory()
        answerWatchers()
        return result
    }

    private fun addWatcher(op: StateOp.Watch, answer: (StateResult) -> Unit) {
        val watcher = Watcher(op, answer)
        watchers.add(watcher)
        clock.after(op.waitMs / 1000.0) { answerWatcher(watcher) }
        answerWatchers()
    }

    private fun answerWatcher(watcher: Watcher) {
        if (!watcher.isOpen) return
        // Open watches stay open during an outage and are answered after it.
        if (outage) return clock.after(0.1) { answerWatcher(watcher) }
        watcher.isOpen = false
        watchers.remove(watcher)
        watcher.answer(changesResult(watcher.op.prefix, watcher.op.after))
    }

    private fun changesResult(prefix: String, after: Long): StateResult =
        if (after < trimmedUpTo) StateResult.TooOld else StateResult.News(selectChanges(prefix, after), revision)

    /** Drops the oldest changes once the history holds twice as many as [historyLimit]. */
    private fun trimHistory() {
        if (historyLimit == Int.MAX_VALUE || history.size < historyLimit * 2) return
        val trimmed = history.subList(0, history.size - historyLimit)
        trimmedUpTo = trimmed.last().version
        trimmed.clear()
    }

    private fun selectChanges(prefix: String, after: Long) = historyAfter(after).filter { it.key.startsWith(prefix) }

    /**
     * Returns the changes after revision [after], by binary search: a long run reads the end of the history very often.
     */
    private fun historyAfter(after: Long): List<StateEvent> {
        val index = history.binarySearchBy(after + 1) { it.version }
        var firstIndex = if (index >= 0) index else -index - 1
        while (firstIndex > 0 && history[firstIndex - 1].version > after) firstIndex--
        return history.subList(firstIndex, history.size)
    }

    /** Answers the watches whose prefix has changed. */
    private fun answerWatchers() {
        if (outage) return
        watchers.filter { watcher -> historyAfter(watcher.op.after).any { it.key.startsWith(watcher.op.prefix) } }
            .toList().forEach { answerWatcher(it) }
    }
}
