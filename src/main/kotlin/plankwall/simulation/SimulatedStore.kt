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

/** The state service as PROTOCOL describes it, in memory. */
class SimulatedStore(private val clock: SimulatedClock, rates: StateLimits) {
    private class Entry(val value: Stored, val version: Long, val lease: Long?)

    private class Lease(val ttlS: Double, var until: Double)

    private class Watcher(val op: StateOp.Watch, val answer: (StateResult) -> Unit, var open: Boolean = true)

    private val entries = TreeMap<String, Entry>()
    private val leases = HashMap<Long, Lease>()
    private val history = ArrayList<StateEvent>()

    /** How many changes are kept at least; a request for older ones is answered [StateResult.TooOld]. */
    var historyLimit = Int.MAX_VALUE
    private var forgottenUpTo = 0L
    private val watchers = ArrayList<Watcher>()
    private var revision = 0L
    private var nextLease = 1L
    var outage = false
        set(value) {
            if (field && !value) leases.values.forEach { it.until = clock.now + it.ttlS }
            field = value
        }

    /**
     * Refuses what goes beyond the rates of the settings, as the service does. Off: it is only counted in [calls] and
     * [writes].
     */
    var refusesBeyondRates = false

    /** Null: no limits. Larger values and transactions are refused for good, changes beyond the rate for now. */
    var limits: StateLimits? = null
    private var second = -1L
    private var changesInSecond = 0

    /** What was refused for good, and how often. */
    val rejected = HashMap<String, Int>()

    fun put(key: String, value: Stored) {
        entries[key] = Entry(value, ++revision, null)
        history.add(StateEvent(key, value, revision))
    }

    fun value(key: String): Stored? = entries[key]?.value

    fun values(prefix: String): List<Stored> = entries.subMap(prefix, prefix + Char.MAX_VALUE).values.map { it.value }

    /** The revision that first wrote [key] and the one that did last; 0: none. */
    fun firstVersion(key: String): Long = history.firstOrNull { it.key == key }?.version ?: 0L

    fun version(key: String): Long = entries[key]?.version ?: 0L

    val keys: Set<String> get() = entries.keys

    /** Puts and deletes executed so far. */
    var changes = 0
        private set

    /** Requests, and puts and deletes, against the rates of the settings. */
    val calls = Meter(rates.rps)
    val writes = Meter(rates.writeRps)

    /**
     * What the service would have answered with 429: beyond [rate] a second, with bursts of [burstS] seconds' worth.
     */
    class Meter(private val rate: Double, burstS: Double = 1.0) {
        private val most = rate * burstS
        private var left = most
        private var at = 0.0
        var beyond = 0
            private set

        /** Counts [n] at [now]; false if that goes beyond the rate. */
        fun note(now: Double, n: Int): Boolean {
            left = minOf(most, left + (now - at) * rate)
            at = now
            if (n > left) {
                beyond += n
                return false
            }
            left -= n
            return true
        }
    }

    init {
        clock.every(0.05) { expire() }
    }

    private fun expire() {
        if (outage) return
        val over = leases.filterValues { it.until <= clock.now }.keys
        over.forEach { drop(it) }
    }

    private fun drop(id: Long) {
        leases.remove(id)
        val attached = entries.filterValues { it.lease == id }.keys.toList()
        if (attached.isEmpty()) return
        revision++
        attached.forEach {
            entries.remove(it)
            history.add(StateEvent(it, null, revision))
        }
        wake()
    }

    fun run(op: StateOp, answer: (StateResult) -> Unit) {
        val admitted = calls.note(clock.now, 1) and (op !is StateOp.Txn || writes.note(clock.now, op.writes.size))
        if (refusesBeyondRates && !admitted) return answer(StateResult.Refused)
        if (op is StateOp.Watch) watch(op, answer) else answer(if (outage) StateResult.Refused else apply(op))
    }

    private fun apply(op: StateOp): StateResult = when (op) {
        is StateOp.Get -> StateResult.Item(entries[op.key]?.let { StateItem(op.key, it.value, it.version) })
        is StateOp.Range -> {
            val found = entries.tailMap(op.after ?: op.prefix, op.after == null)
                .filterKeys { it.startsWith(op.prefix) }.entries.take(op.limit + 1)
            val items = found.take(op.limit).map { StateItem(it.key, it.value.value, it.value.version) }
            StateResult.Items(items, found.size > op.limit, revision)
        }
        is StateOp.Txn -> transact(op)
        is StateOp.Grant -> {
            val id = nextLease++
            leases[id] = Lease(op.ttlMs / 1000.0, clock.now + op.ttlMs / 1000.0)
            StateResult.Granted(id)
        }
        is StateOp.Renew -> leases[op.lease]?.let {
            it.until = clock.now + it.ttlS
            StateResult.Renewed
        } ?: StateResult.NoLease
        is StateOp.Drop -> {
            drop(op.lease)
            StateResult.Renewed
        }
        is StateOp.Changes -> news(op.prefix, op.after)
        is StateOp.Watch -> error("watches are handled apart")
    }

    private fun limited(op: StateOp.Txn, limits: StateLimits): StateResult? {
        val large = op.writes.filterIsInstance<Write.Put>().filter {
            StateCodec.sizeOf(it.value) > limits.valueKb * 1024
        }
        large.forEach { rejected.merge(it.key, 1, Int::plus) }
        if (op.writes.size > limits.txnOps) rejected.merge("${op.writes.size} changes", 1, Int::plus)
        if (op.guards.size > limits.txnOps * 4) rejected.merge("${op.guards.size} guards", 1, Int::plus)
        if (large.isNotEmpty() || op.writes.size > limits.txnOps || op.guards.size > limits.txnOps * 4) {
            return StateResult.Rejected
        }
        if (clock.now.toLong() != second) changesInSecond = 0
        second = clock.now.toLong()
        changesInSecond += op.writes.size
        return if (changesInSecond > limits.writeRps * 2) StateResult.Refused else null
    }

    /** Why [op] is not applied; null if it is. */
    private fun refusalOf(op: StateOp.Txn): StateResult? {
        limits?.let { l -> limited(op, l)?.let { return it } }
        val failed = op.guards.filter { (entries[it.key]?.version ?: 0L) != it.version }.map { it.key }.toSet()
        val hasLostLease = op.writes.any { it is Write.Put && it.lease != null && it.lease !in leases }
        return when {
            failed.isNotEmpty() -> StateResult.Conflict(failed)
            hasLostLease -> StateResult.Refused
            else -> null
        }
    }

    private fun transact(op: StateOp.Txn): StateResult {
        refusalOf(op)?.let { return it }
        if (op.writes.isEmpty()) return StateResult.Committed(revision)
        revision++
        changes += op.writes.size
        for (w in op.writes) {
            when (w) {
                is Write.Put -> {
                    entries[w.key] = Entry(w.value, revision, w.lease)
                    history.add(StateEvent(w.key, w.value, revision))
                }
                is Write.Remove -> if (entries.remove(w.key) != null) history.add(StateEvent(w.key, null, revision))
            }
        }
        val result = StateResult.Committed(revision)
        forgetOld()
        wake()
        return result
    }

    private fun watch(op: StateOp.Watch, answer: (StateResult) -> Unit) {
        val w = Watcher(op, answer)
        watchers.add(w)
        clock.after(op.waitMs / 1000.0) { close(w) }
        wake()
    }

    private fun close(w: Watcher) {
        if (!w.open) return
        // Open watches stay open through an outage and are answered after it.
        if (outage) return clock.after(0.1) { close(w) }
        w.open = false
        watchers.remove(w)
        w.answer(news(w.op.prefix, w.op.after))
    }

    private fun news(prefix: String, after: Long): StateResult =
        if (after < forgottenUpTo) StateResult.TooOld else StateResult.News(changes(prefix, after), revision)

    private fun forgetOld() {
        if (historyLimit == Int.MAX_VALUE || history.size < historyLimit * 2) return
        val old = history.subList(0, history.size - historyLimit)
        forgottenUpTo = old.last().version
        old.clear()
    }

    private fun changes(prefix: String, after: Long) = since(after).filter { it.key.startsWith(prefix) }

    /** The history is sorted by version; a long run reads its end thousands of times. */
    private fun since(after: Long): List<StateEvent> {
        val at = history.binarySearchBy(after + 1) { it.version }
        var first = if (at >= 0) at else -at - 1
        while (first > 0 && history[first - 1].version > after) first--
        return history.subList(first, history.size)
    }

    private fun wake() {
        if (outage) return
        watchers.filter { w -> since(w.op.after).any { it.key.startsWith(w.op.prefix) } }
            .toList().forEach { close(it) }
    }
}
