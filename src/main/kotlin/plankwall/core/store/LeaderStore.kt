package plankwall.core.store

import org.slf4j.LoggerFactory
import plankwall.core.election.Leadership
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.TokenBucket
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.StateCodec
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * A leader's access to the state service. Every write carries the guard on the leader's key, and replies that arrive
 * after the end of the term are dropped. Owns the rate budgets for calls and changes, and the store's limits.
 */
class LeaderStore(private val ctx: Context, private val leadership: Leadership) {
    /** The epoch of this term. */
    val epoch = leadership.epoch

    /** Whether the term has not ended. */
    var isTermActive = true
        private set

    private val log = LoggerFactory.getLogger("store")

    /** The limits on the size of one write. */
    val limits = StoreLimits(ctx.settings)

    private val changeBudget = TokenBucket(ctx.time, ctx.settings.strictestStateLimits.writeRps * WRITE_SHARE)
    private val callBudget = TokenBucket(ctx.time, ctx.settings.strictestStateLimits.rps * CALL_SHARE)

    /**
     * The revision of this leader's newest write. As a fencing token it belongs to this leader alone: no other leader
     * has it or can get it later.
     */
    var lastRevision = epoch
        private set

    /** Ends the term: replies that arrive later have no effect. */
    fun close() {
        isTermActive = false
    }

    /** The number of [availableWrites] below which only changes that can't wait are written. */
    val lowPriorityWriteThreshold: Int = (ctx.settings.strictestStateLimits.writeRps * SCARCE_SHARE).toInt()

    /** Whether decisions made now could be stored at all. A leader that may have been replaced decides nothing. */
    val mayWrite: Boolean get() = leadership.mayWrite

    /** Returns how many changes (puts and removals) may be sent now. */
    fun availableWrites(): Int =
        if (leadership.mayWrite && callBudget.available() >= 1) changeBudget.available().toInt() else 0

    /** Whether a read may be sent now. */
    fun mayRead(): Boolean = callBudget.available() >= 1

    /**
     * Sends [changes] as one transaction that is applied only if all [guards] hold and this node still leads.
     * [onResult] is not called if the term has ended or if the leader's key has changed, which makes this node resign.
     */
    fun write(guards: List<Guard>, changes: List<Write>, onResult: (StateResult) -> Unit) {
        changeBudget.spend(changes.size)
        callBudget.spend(1)
        ctx.out.state(StateOp.Txn(listOf(leadership.leaderKeyGuard()) + guards, changes)) { result ->
            if (!isTermActive) return@state
            if (result is StateResult.Conflict && Keys.LEADER in result.failed) {
                leadership.resign("the leader key has changed")
            } else {
                if (result is StateResult.Committed) lastRevision = maxOf(lastRevision, result.revision)
                if (result == StateResult.Rejected) onRejected(changes)
                onResult(result)
            }
        }
    }

    /**
     * Lowers the limits after a rejected write. The write is not sent again unchanged: the writers adapt to the new
     * limits.
     */
    private fun onRejected(rejected: List<Write>) {
        val sizes = rejected.filterIsInstance<Write.Put>().associate { it.key to StateCodec.sizeOf(it.value) }
        val largest = sizes.maxByOrNull { it.value }
        limits.onRejected(rejected.size, largest?.value ?: 0)
        log.warn(
            "write rejected changes={} largest_key={} largest_bytes={} max_changes={} max_value_bytes={}",
            rejected.size,
            largest?.key,
            largest?.value,
            limits.txnOps,
            limits.valueBytes,
        )
    }

    /** Reads one key. */
    fun read(key: String, onResult: (StateResult) -> Unit) {
        callBudget.spend(1)
        ctx.out.state(StateOp.Get(key)) { if (isTermActive) onResult(it) }
    }

    /** Waits up to [waitMs] milliseconds for changes after the revision [afterRevision] of keys with [prefix]. */
    fun watch(prefix: String, afterRevision: Long, waitMs: Long, onResult: (StateResult) -> Unit) =
        ctx.out.state(StateOp.Watch(prefix, afterRevision, waitMs)) { if (isTermActive) onResult(it) }

    /**
     * Reads all keys with [prefix], a limited number at a time, and retries until it succeeds or the term ends.
     * [onItems] gets the items and the revision after which changes have to be watched.
     */
    fun readAll(prefix: String, onItems: (List<StateItem>, Long) -> Unit) =
        readFrom(prefix, null, ArrayList(), 0L, onItems)

    private fun readFrom(
        prefix: String,
        afterKey: String?,
        items: ArrayList<StateItem>,
        firstPageRevision: Long,
        onItems: (List<StateItem>, Long) -> Unit,
    ) {
        ctx.out.state(StateOp.Range(prefix, afterKey, ITEMS_PER_READ)) { result ->
            if (!isTermActive) return@state
            if (result !is StateResult.Items) {
                ctx.runAfter(READ_RETRY_S) {
                    if (isTermActive) readFrom(prefix, afterKey, items, firstPageRevision, onItems)
                }
                return@state
            }
            items.addAll(result.items)
            // Changes have to be watched from the revision of the first page on, since later pages may be newer than
            // that.
            val revision = if (afterKey == null) result.revision else firstPageRevision
            if (result.more && result.items.isNotEmpty()) {
                readFrom(prefix, result.items.last().key, items, revision, onItems)
            } else {
                onItems(items, revision)
            }
        }
    }

    private companion object {
        /**
         * The shares of the state service's rate limits that the leader uses. The other nodes' submissions and
         * cancellations need the remainder.
         */
        const val WRITE_SHARE = 0.75
        const val CALL_SHARE = 0.4
        const val SCARCE_SHARE = 0.25
        const val ITEMS_PER_READ = 200
        const val READ_RETRY_S = 0.3
    }
}
