package plankwall.audit

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.TokenBucket
import plankwall.wire.AccessKeys
import plankwall.wire.AuditSegment
import plankwall.wire.Guard
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * One node's chain. An entry and the change it allows are one transaction, so that neither is ever there without the
 * other, also when the transaction is applied late or its answer is lost. One transaction at a time is under way; what
 * comes meanwhile goes with the next one, all of it, so that a busy node writes few. Each is guarded on the newest
 * segment's stamp and on there being none behind it: of two that claim the same place in the chain only one can get
 * through.
 */
class AuditLogWriter(private val ctx: Context, private val node: String, share: Double) {
    private val log = LoggerFactory.getLogger("audit")

    private class Item(
        val entry: AuditEntry,
        val txn: StateOp.Txn?,
        val since: Double,
        val patienceS: Double,
        val then: (StateResult) -> Unit,
    ) {
        var tries = 0
    }

    private val limits = ctx.settings.stateTight
    private var valueBytes = (limits.valueKb * 1024 * NEARLY).toInt()

    /** Changes that this chain may cost; a busy node has more than the equal part. */
    private val budget = (limits.writeRps * share / ctx.settings.nodes * UNEVEN).let {
        TokenBucket(ctx.time, it, maxOf(it, 1.0))
    }
    private val half = maxOf(1.0, limits.writeRps * share / ctx.settings.nodes)
    private val finder = AuditChainTail(ctx, node)

    private var end: AuditChainTail.End? = null
    private var loading = false
    private var busy = false
    private var alone = false
    private var retryAt = 0.0
    private var lastNotes = 0.0
    private val changes = ArrayDeque<Item>()
    private val notes = ArrayDeque<Item>()

    val ready: Boolean get() = end != null

    /** Entries of this node's chain so far. */
    val length: Long get() = end?.next ?: 0

    /** Stores a decision by itself. Refused at once if too many wait. */
    fun note(entry: AuditEntry, then: (stored: Boolean) -> Unit) =
        queue(notes, Item(entry, null, ctx.now, PATIENCE_S) { then(it is StateResult.Committed) })

    /**
     * Keeps a decision that was told already until it can be stored. False: too many are kept, so it must not be told.
     */
    fun noteLater(entry: AuditEntry): Boolean {
        if (notes.size >= MAX_LATER) return false
        queue(
            notes,
            Item(entry, null, ctx.now, LATER_S) {
                if (it !is StateResult.Committed) log.error("decision {} could not be stored", entry.id)
            },
        )
        return true
    }

    /** Stores a change and its decision, or neither. */
    fun change(entry: AuditEntry, txn: StateOp.Txn, then: (StateResult) -> Unit) =
        queue(changes, Item(entry, txn, ctx.now, PATIENCE_S, then))

    private fun queue(to: ArrayDeque<Item>, item: Item) {
        if (changes.size + notes.size >= MAX_QUEUED) {
            item.then(StateResult.Refused)
            return
        }
        to.addLast(item)
        pump()
    }

    fun tick() {
        if (end == null && !loading) load(emptyList())
        // What waits too long is given up while its caller still listens; nothing of it was ever sent, or it would be
        // busy.
        for (queue in listOf(changes, notes)) {
            val late = queue.filter { ctx.now - it.since > it.patienceS }
            queue.removeAll(late.toSet())
            late.forEach { it.then(StateResult.Refused) }
        }
        pump()
    }

    /** Finds the chain's end anew. What of [sent], or of what waits, turns out to be in it has been stored. */
    private fun load(sent: List<Item>) {
        loading = true
        val known = end
        finder.find(known) { found ->
            loading = false
            if (found == null) {
                end = known
                retryAt = ctx.now + RETRY_S
                unresolved(sent, emptySet())
                return@find
            }
            end = found
            val landed = found.idsSince(known)
            unresolved(sent, landed)
            val stored = notes.filter { it.entry.id in landed }
            notes.removeAll(stored.toSet())
            stored.forEach { it.then(StateResult.Committed(found.version)) }
            pump()
        }
    }

    /**
     * What was sent and not answered: stored if it is in the chain; else nobody can say yet, and a note is tried again.
     */
    private fun unresolved(sent: List<Item>, landed: Set<String>) {
        busy = false
        for (item in sent.asReversed()) {
            when {
                item.entry.id in landed -> item.then(StateResult.Committed(end?.version ?: 0L))
                item.txn == null -> notes.addFirst(item)
                else -> item.then(StateResult.Unknown)
            }
        }
    }

    private fun pump() {
        val e = end ?: return
        if (busy || loading || ctx.now < retryAt || (changes.isEmpty() && notes.isEmpty())) return
        val room = budget.available()
        val waited = notes.firstOrNull()?.let { ctx.now - it.since } ?: 0.0
        // The first note after a quiet moment goes at once. Those behind it wait for company, longer while the budget
        // is low, so that a flood of them costs a few changes a second.
        if (room < 1 ||
            (changes.isEmpty() && (ctx.now < lastNotes + NOTE_GAP_S || room < half && waited < NOTE_WAIT_S))
        ) {
            return
        }
        val batch = Batch(e)
        fill(batch, changes)
        if (!alone || batch.items.isEmpty()) fill(batch, notes)
        if (batch.items.isEmpty()) return
        budget.spend(1)
        if (batch.items.any { it.txn == null }) lastNotes = ctx.now
        send(batch)
    }

    private fun fill(batch: Batch, from: ArrayDeque<Item>) {
        while (from.isNotEmpty() && !(alone && batch.items.isNotEmpty()) && batch.add(from.first())) from.removeFirst()
    }

    /**
     * The next transaction: entries behind the chain's end, in its last segment or, where they don't fit, in a new one.
     */
    private inner class Batch(private val end: AuditChainTail.End) {
        val items = ArrayList<Item>()
        private val lines = ArrayList<String>()
        private val touched = HashSet<String>()
        private var hash = end.hash
        private var size = if (end.version > 0) end.size else EMPTY_SEGMENT
        private var turned = false
        private var ops = 1
        private var guards = 3
        private var bytes = 400

        fun add(item: Item): Boolean {
            val txn = item.txn
            val line = AuditLines.write(end.next + lines.size, hash, node, item.entry)
            val lineSize = AuditChainTail.sizeOf(line)
            val moreOps = txn?.writes?.size ?: 0
            val moreGuards = txn?.guards?.size ?: 0
            val moreBytes = txn?.let { StateCodec.txn(it).size } ?: 0
            if (size + lineSize > valueBytes) {
                // A segment is turned only by the first entry of a transaction; the others wait for the next one.
                if (items.isNotEmpty() ||
                    end.version == 0L
                ) {
                    return items.isEmpty() &&
                        take(item, line, lineSize, moreOps, moreGuards, moreBytes)
                }
                turned = true
                size = EMPTY_SEGMENT
            }
            if (items.isNotEmpty()) {
                val full =
                    ops + moreOps > limits.txnOps ||
                        guards + moreGuards > limits.txnOps * 4 ||
                        bytes + size + lineSize + moreBytes > MAX_BYTES
                if (full || txn != null && txn.writes.any { keyOf(it) in touched }) return false
            }
            return take(item, line, lineSize, moreOps, moreGuards, moreBytes)
        }

        private fun take(
            item: Item,
            line: String,
            lineSize: Int,
            moreOps: Int,
            moreGuards: Int,
            moreBytes: Int,
        ): Boolean {
            items.add(item)
            lines.add(line)
            hash = AuditLines.hash(line)
            size += lineSize
            ops += moreOps
            guards += moreGuards
            bytes += moreBytes
            item.txn?.writes?.forEach { touched.add(keyOf(it)) }
            return true
        }

        private val number: Long get() = if (turned) end.segment + 1 else end.segment

        /** Guards on the old segment too, so that nothing late is written behind a turn. */
        val own: List<Guard>
            get() = listOf(
                Guard(AccessKeys.segment(node, end.segment), end.version),
                Guard(AccessKeys.segment(node, end.segment + 1), 0),
            )

        fun segment(): AuditSegment = if (turned || end.version == 0L) {
            AuditSegment(end.next, end.hash, lines.toList())
        } else {
            AuditSegment(end.first, end.before, end.lines + lines)
        }

        fun write(): Write = Write.Put(AccessKeys.segment(node, number), segment())

        fun committed(revision: Long): AuditChainTail.End = AuditChainTail.End(number, revision, segment())
    }

    private fun keyOf(w: Write): String = when (w) {
        is Write.Put -> w.key
        is Write.Remove -> w.key
    }

    private fun send(batch: Batch) {
        busy = true
        val guards = (batch.own + batch.items.flatMap { it.txn?.guards.orEmpty() }).distinct()
        val writes = listOf(batch.write()) + batch.items.flatMap { it.txn?.writes.orEmpty() }
        ctx.out.state(StateOp.Txn(guards, writes)) { result ->
            when (result) {
                is StateResult.Committed -> {
                    end = batch.committed(result.revision)
                    busy = false
                    alone = false
                    batch.items.forEach { it.then(result) }
                    pump()
                }
                is StateResult.Conflict -> conflict(batch, result.failed)
                StateResult.Refused -> again(batch, batch.items.filter { it.txn != null }, StateResult.Refused, RETRY_S)
                StateResult.Rejected -> rejected(batch)
                else -> load(batch.items)
            }
        }
    }

    /** Those whose own guards failed hear of it; the others were only in their company and go again. */
    private fun conflict(batch: Batch, failed: Set<String>) {
        val theirs = batch.items.filter { item -> item.txn?.guards.orEmpty().any { it.key in failed } }
        val ours = batch.own.any { it.key in failed }
        val rest = batch.items - theirs.toSet()
        requeue(rest)
        busy = false
        theirs.forEach { item ->
            item.then(
                StateResult.Conflict(
                    failed.filterTo(HashSet()) { key ->
                        item.txn?.guards.orEmpty().any {
                            it.key ==
                                key
                        }
                    },
                ),
            )
        }
        // Something of ours that was given up was applied after all: the chain goes on behind it.
        if (ours) load(emptyList()) else pump()
    }

    private fun requeue(items: List<Item>) {
        for (item in items.asReversed()) {
            when {
                ++item.tries > MAX_TRIES && item.patienceS == PATIENCE_S -> item.then(StateResult.Refused)
                item.txn == null -> notes.addFirst(item)
                else -> changes.addFirst(item)
            }
        }
    }

    /** [given] are told [result]; the others of the batch wait for the next one. */
    private fun again(batch: Batch, given: List<Item>, result: StateResult, pauseS: Double) {
        busy = false
        retryAt = ctx.now + pauseS
        for (item in (batch.items - given.toSet()).asReversed()) notes.addFirst(item)
        given.forEach { it.then(result) }
    }

    private fun rejected(batch: Batch) {
        busy = false
        if (batch.items.size > 1) {
            alone = true
            requeue(batch.items)
        } else if (valueBytes > LEAST_BYTES) {
            // The store takes less than was announced: segments are kept smaller, and what there is is left behind.
            valueBytes = maxOf(LEAST_BYTES, valueBytes / 2)
            log.warn("trail: a write was refused for good; segments of at most {} bytes from now on", valueBytes)
            requeue(batch.items)
        } else {
            batch.items.forEach { it.then(StateResult.Rejected) }
        }
        pump()
    }

    private companion object {
        const val NEARLY = 0.95
        const val UNEVEN = 2.0
        const val MAX_QUEUED = 400
        const val PATIENCE_S = 3.0

        /** Outages end; what was told during a longer one than this is in the log alone. */
        const val LATER_S = 600.0
        const val MAX_LATER = 100
        const val RETRY_S = 0.25
        const val NOTE_GAP_S = 0.25
        const val NOTE_WAIT_S = 0.5
        const val MAX_TRIES = 8
        const val MAX_BYTES = 56_000
        const val LEAST_BYTES = 1024
        const val EMPTY_SEGMENT = 90
    }
}
