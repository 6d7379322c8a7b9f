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
 * The leader's way to the state service. Every write carries the guard on the leader key, and nothing that comes back
 * after this leader's time is heard any more.
 */
class LeaderStore(private val ctx: Context, private val leadership: Leadership) {
    val epoch = leadership.epoch
    var active = true
        private set

    private val log = LoggerFactory.getLogger("store")
    val limits = StoreLimits(ctx.settings)

    // The other nodes' submissions and withdrawals need a part of the common rate.
    private val writes = TokenBucket(ctx.time, ctx.settings.stateTight.writeRps * 0.75)

    /** The newest revision that a write of this leader made; no other leader can have, or later get, a token of it. */
    var lastRevision = epoch
        private set
    private val calls = TokenBucket(ctx.time, ctx.settings.stateTight.rps * 0.4)

    fun close() {
        active = false
    }

    /** Below this [availableWrites] only what somebody waits for is written. */
    val scarceWrites: Int = (ctx.settings.stateTight.writeRps * 0.25).toInt()

    /** Whether what is decided now could be stored at all: a leader that may have been replaced decides nothing. */
    val mayWrite: Boolean get() = leadership.mayWrite

    /** How many puts and deletes may be sent now. */
    fun availableWrites(): Int = if (leadership.mayWrite && calls.available() >= 1) writes.available().toInt() else 0

    fun mayRead(): Boolean = calls.available() >= 1

    fun write(guards: List<Guard>, changes: List<Write>, then: (StateResult) -> Unit) {
        writes.spend(changes.size)
        calls.spend(1)
        ctx.out.state(StateOp.Txn(listOf(leadership.guard()) + guards, changes)) { result ->
            if (!active) return@state
            if (result is StateResult.Conflict && Keys.LEADER in result.failed) {
                leadership.resign("the leader key is no longer ours")
            } else {
                if (result is StateResult.Committed) lastRevision = maxOf(lastRevision, result.revision)
                if (result == StateResult.Rejected) learnFrom(changes)
                then(result)
            }
        }
    }

    /** What was refused for good is not sent again as it is; whoever wrote it finds the way round by the new limits. */
    private fun learnFrom(refused: List<Write>) {
        val sizes = refused.filterIsInstance<Write.Put>().associate { it.key to StateCodec.sizeOf(it.value) }
        val largest = sizes.maxByOrNull { it.value }
        limits.rejected(refused.size, largest?.value ?: 0)
        log.warn(
            "refused for good: {} changes, the largest {} with {} bytes; from now on at most {} changes, values up to {} bytes",
            refused.size,
            largest?.key,
            largest?.value,
            limits.txnOps,
            limits.valueBytes,
        )
    }

    fun read(key: String, then: (StateResult) -> Unit) {
        calls.spend(1)
        ctx.out.state(StateOp.Get(key)) { if (active) then(it) }
    }

    fun watch(prefix: String, after: Long, waitMs: Long, then: (StateResult) -> Unit) =
        ctx.out.state(StateOp.Watch(prefix, after, waitMs)) { if (active) then(it) }

    /** Reads all keys with [prefix], page by page, until it succeeds or the leadership ends. */
    fun readAll(prefix: String, then: (List<StateItem>, Long) -> Unit) = readFrom(prefix, null, ArrayList(), 0L, then)

    private fun readFrom(
        prefix: String,
        after: String?,
        found: ArrayList<StateItem>,
        firstRevision: Long,
        then: (List<StateItem>, Long) -> Unit,
    ) {
        ctx.out.state(StateOp.Range(prefix, after, PAGE)) { result ->
            if (!active) return@state
            if (result !is StateResult.Items) {
                ctx.runAfter(0.3) { if (active) readFrom(prefix, after, found, firstRevision, then) }
                return@state
            }
            found.addAll(result.items)
            // Changes are to be watched from the first page on: later pages may be newer than that.
            val revision = if (after == null) result.revision else firstRevision
            if (result.more && result.items.isNotEmpty()) {
                readFrom(prefix, result.items.last().key, found, revision, then)
            } else {
                then(found, revision)
            }
        }
    }

    private companion object {
        const val PAGE = 200
    }
}
