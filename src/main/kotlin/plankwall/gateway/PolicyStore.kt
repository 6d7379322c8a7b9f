package plankwall.gateway

import org.slf4j.LoggerFactory
import plankwall.authorization.InvalidPolicyException
import plankwall.authorization.Policy
import plankwall.authorization.PolicyReader
import plankwall.core.statemachine.Context
import plankwall.wire.AccessKeys
import plankwall.wire.Guard
import plankwall.wire.RightsHead
import plankwall.wire.RightsPart
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/** A policy whose parts are stored: [txn] writes the head that publishes it as [version]. */
internal class PreparedPolicy(val version: Long, val txn: StateOp.Txn)

/**
 * This node's copy of the published policy. Read anew several times a second, so that a revoked right is refused on
 * every node within a second; a change between two readings is caught by the guard on the head's stamp.
 *
 * [firstRights]: the text that is published where the store holds no policy; null: none is.
 */
class PolicyStore(private val ctx: Context, private val firstRights: String?) {
    private val log = LoggerFactory.getLogger("policy")
    private val chunks = PolicyChunks(ctx.settings.stateTight)

    /** The policy in force, [Policy.NOBODY] until one was read. */
    var policy: Policy = Policy.NOBODY
        private set

    /** The stored head of [policy]; null until one was read. */
    var head: RightsHead? = null
        private set

    /** The stamp of [head]: what every allowed change is guarded on. */
    var stamp = 0L
        private set

    /** The text of [policy]. */
    var text = ""
        private set

    /** When the reading began that last found [policy] to be the newest. */
    private var confirmedAt = NEVER
    private var isReading = false
    private var nextRead = 0.0
    private val awaitingRead = ArrayList<() -> Unit>()

    /** Whether a policy was read. */
    val known: Boolean get() = head != null

    /** Whether [policy] was confirmed to be the newest within the last [withinS] seconds. */
    fun isFresh(withinS: Double): Boolean = ctx.now - confirmedAt <= withinS

    /** Reads the head if that is due. */
    fun tick() {
        if (!isReading && ctx.now >= nextRead) readHead()
    }

    /** Reads the head now; [then] is called once that has been tried. */
    fun refresh(then: () -> Unit) {
        awaitingRead.add(then)
        if (!isReading) readHead()
    }

    private fun readHead() {
        isReading = true
        val startedAt = ctx.now
        nextRead = startedAt + READ_INTERVAL_S
        ctx.out.state(StateOp.Get(AccessKeys.HEAD)) { result ->
            val item = (result as? StateResult.Item)?.item
            val found = item?.value as? RightsHead
            when {
                result !is StateResult.Item -> finishReading()
                item == null || found == null -> onMissingHead()
                item.version == stamp -> {
                    confirmedAt = startedAt
                    finishReading()
                }
                else -> load(found, item.version, startedAt)
            }
        }
    }

    private fun finishReading() {
        isReading = false
        val callbacks = awaitingRead.toList()
        awaitingRead.clear()
        callbacks.forEach { it() }
    }

    /** The store holds no policy: the first version is published, by whichever node comes first. */
    private fun onMissingHead() {
        if (firstRights == null || stamp > 0) {
            // A head that was there and is gone was removed by somebody with access to the store: nothing is allowed.
            if (stamp > 0) log.error("policy missing from the state service: nothing is allowed")
            policy = Policy.NOBODY
            head = null
            finishReading()
            return
        }
        publishFirst(firstRights)
    }

    private fun publishFirst(rights: String) {
        prepare(0, 0, rights, "first version") { prepared ->
            if (prepared == null) finishReading() else ctx.out.state(prepared.txn) { finishReading() }
        }
    }

    private fun load(found: RightsHead, foundStamp: Long, startedAt: Double) = readText(found) { read ->
        if (read == null) {
            finishReading()
            return@readText
        }
        policy = parse(read, found)
        head = found
        text = read
        stamp = foundStamp
        confirmedAt = startedAt
        finishReading()
    }

    private fun parse(text: String, head: RightsHead): Policy = try {
        PolicyReader.read(text, head.version).also {
            log.info("policy loaded version={} by={} principals={}", head.version, head.by, it.principals.size)
        }
    } catch (e: InvalidPolicyException) {
        // It was checked before it was stored: a later version of the language, or an edit of the store.
        log.error("policy unreadable, nothing is allowed version={} problem={}", head.version, e.message)
        Policy.NOBODY
    }

    /** The text of the version that [head] names; [then] gets null if it can't be read or has another digest. */
    private fun readText(head: RightsHead, then: (String?) -> Unit) = readParts(head.version) { parts ->
        val text = parts?.take(head.parts)?.joinToString("")
        if (text != null && chunks.digest(text) != head.digest) {
            log.error("policy text is not the one that was published version={}", head.version)
        }
        then(text?.takeIf { chunks.digest(it) == head.digest })
    }

    /** The stored parts of [version], none if it does not exist; [then] gets null if the store can't be read. */
    fun readParts(version: Long, then: (List<String>?) -> Unit) =
        ctx.out.state(StateOp.Range(AccessKeys.parts(version), null, MAX_PARTS)) { result ->
            then((result as? StateResult.Items)?.items?.mapNotNull { (it.value as? RightsPart)?.text })
        }

    /**
     * Stores the parts of [text] as the version after [base], whose head has [baseStamp]; [then] gets null if the
     * store did not confirm. The parts have no effect until the head names them; the head is guarded on each of them,
     * so that two concurrent publications can't be mixed.
     */
    internal fun prepare(base: Long, baseStamp: Long, text: String, by: String, then: (PreparedPolicy?) -> Unit) {
        val version = base + 1
        val parts = chunks.split(text)
        val head = RightsHead(version, parts.size, chunks.digest(text), by, ctx.time.wallMs)
        val keys = parts.indices.map { AccessKeys.part(version, it) }
        storeParts(version, parts, 0, baseStamp, ArrayList()) { stamps ->
            if (stamps == null) {
                then(null)
            } else {
                val partGuards = keys.zip(stamps) { key, stamp -> Guard(key, stamp) }
                val guards = listOf(Guard(AccessKeys.HEAD, baseStamp)) + partGuards
                then(PreparedPolicy(version, StateOp.Txn(guards, listOf(Write.Put(AccessKeys.HEAD, head)))))
            }
        }
    }

    /** Stores [parts] from number [from] on, as many at once as fit; [then] gets the stamps of all. */
    private fun storeParts(
        version: Long,
        parts: List<String>,
        from: Int,
        baseStamp: Long,
        stamps: ArrayList<Long>,
        then: (List<Long>?) -> Unit,
    ) {
        if (from >= parts.size) {
            then(stamps)
            return
        }
        val batch = parts.drop(from).take(chunks.perTransaction)
        val writes = batch.mapIndexed { n, part -> Write.Put(AccessKeys.part(version, from + n), RightsPart(part)) }
        ctx.out.state(StateOp.Txn(listOf(Guard(AccessKeys.HEAD, baseStamp)), writes)) { result ->
            if (result !is StateResult.Committed) {
                then(null)
            } else {
                repeat(batch.size) { stamps.add(result.revision) }
                storeParts(version, parts, from + batch.size, baseStamp, stamps, then)
            }
        }
    }

    private companion object {
        const val NEVER = -1e12
        const val READ_INTERVAL_S = 0.4
        const val MAX_PARTS = 400
    }
}
