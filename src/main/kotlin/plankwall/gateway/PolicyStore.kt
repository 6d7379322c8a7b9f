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

/** A policy whose text is stored but not yet published. [txn] publishes it as [version] by writing the head. */
internal class PreparedPolicy(val version: Long, val txn: StateOp.Txn)

/**
 * This node's copy of the published policy. The store's head, which names the newest version, is read several times a
 * second, so that every node refuses a revoked right within a second. A change that was allowed by a policy replaced
 * between two reads fails, since its transaction is guarded on the head's stamp.
 *
 * [initialPolicyText]: the text that is published if the store holds no policy; null to publish none.
 */
class PolicyStore(private val ctx: Context, private val initialPolicyText: String?) {
    private val log = LoggerFactory.getLogger("policy")
    private val chunks = PolicyChunks(ctx.settings.strictestStateLimits)

    /** The policy that this node applies; [Policy.DENY_ALL] if none was read, or it is unreadable or was removed. */
    var policy: Policy = Policy.DENY_ALL
        private set

    /** The stored head of [policy]; null before one was read, and after it was removed from the store. */
    var head: RightsHead? = null
        private set

    /** The stored revision of the head that was read last, 0 before. Every allowed change is guarded on it. */
    var stamp = 0L
        private set

    /** The text of [policy]. */
    var text = ""
        private set

    /** The start, in seconds of [Context.now], of the last read that found [policy] to be the newest. */
    private var confirmedAt = NEVER
    private var isReading = false
    private var nextReadAt = 0.0

    /** The callbacks that wait for the end of the read in progress. */
    private val readCallbacks = ArrayList<() -> Unit>()

    /** Whether a policy was read and its head was not removed from the store since. */
    val isLoaded: Boolean get() = head != null

    /** Whether [policy] was confirmed to be the newest within the last [withinS] seconds. */
    fun isFresh(withinS: Double): Boolean = ctx.now - confirmedAt <= withinS

    /** Reads the head if the last read began more than [READ_INTERVAL_S] ago and none is in progress. */
    fun tick() {
        if (!isReading && ctx.now >= nextReadAt) readHead()
    }

    /** Reads the head, or awaits a read in progress; [onDone] is called afterwards, also if the read failed. */
    fun refresh(onDone: () -> Unit) {
        readCallbacks.add(onDone)
        if (!isReading) readHead()
    }

    private fun readHead() {
        isReading = true
        val startedAt = ctx.now
        nextReadAt = startedAt + READ_INTERVAL_S
        ctx.out.state(StateOp.Get(AccessKeys.HEAD)) { result ->
            val item = (result as? StateResult.Item)?.item
            val foundHead = item?.value as? RightsHead
            when {
                result !is StateResult.Item -> finishReading()
                item == null || foundHead == null -> onMissingHead()
                item.version == stamp -> {
                    confirmedAt = startedAt
                    finishReading()
                }
                else -> load(foundHead, item.version, startedAt)
            }
        }
    }

    private fun finishReading() {
        isReading = false
        val callbacks = readCallbacks.toList()
        readCallbacks.clear()
        callbacks.forEach { it() }
    }

    /**
     * Publishes the first version, which all nodes try and only one achieves. If this node has read a head before, the
     * head was removed, and nothing is allowed any more.
     */
    private fun onMissingHead() {
        if (initialPolicyText == null || stamp > 0) {
            // This program never removes the head, so it was removed by direct access to the store: nothing is allowed.
            if (stamp > 0) log.error("policy missing from the state service: nothing is allowed")
            policy = Policy.DENY_ALL
            head = null
            finishReading()
            return
        }
        publishFirst(initialPolicyText)
    }

    private fun publishFirst(rights: String) {
        prepare(0, 0, rights, "first version") { prepared ->
            if (prepared == null) finishReading() else ctx.out.state(prepared.txn) { finishReading() }
        }
    }

    /** Makes the version of [foundHead] this node's policy; keeps the present one if its text can't be read. */
    private fun load(foundHead: RightsHead, foundStamp: Long, startedAt: Double) = readText(foundHead) { foundText ->
        if (foundText == null) {
            finishReading()
            return@readText
        }
        policy = parse(foundText, foundHead)
        head = foundHead
        text = foundText
        stamp = foundStamp
        confirmedAt = startedAt
        finishReading()
    }

    private fun parse(text: String, head: RightsHead): Policy = try {
        PolicyReader.read(text, head.version).also {
            log.info("policy loaded version={} by={} principals={}", head.version, head.by, it.principals.size)
        }
    } catch (e: InvalidPolicyException) {
        // The text was checked before it was published. So either it uses a later version of the policy language, or it
        // was edited directly in the store.
        log.error("policy unreadable, nothing is allowed version={} problem={}", head.version, e.message)
        Policy.DENY_ALL
    }

    /** Reads the text of the version that [head] names; [onText] gets null if that fails or the digest differs. */
    private fun readText(head: RightsHead, onText: (String?) -> Unit) = readParts(head.version) { parts ->
        val text = parts?.take(head.parts)?.joinToString("")
        if (text != null && chunks.digest(text) != head.digest) {
            log.error("policy text is not the one that was published version={}", head.version)
        }
        onText(text?.takeIf { chunks.digest(it) == head.digest })
    }

    /**
     * Reads the stored parts of the text of [version]. [onParts] gets an empty list if there is no such version, and
     * null if the store can't be read.
     */
    fun readParts(version: Long, onParts: (List<String>?) -> Unit) =
        ctx.out.state(StateOp.Range(AccessKeys.parts(version), null, MAX_PARTS)) { result ->
            onParts((result as? StateResult.Items)?.items?.mapNotNull { (it.value as? RightsPart)?.text })
        }

    /**
     * Stores the parts of [text] as the version after [base], whose head has [baseStamp]. The parts have no effect
     * until a head names them. The transaction that writes this head is guarded on each part, so that the parts of two
     * concurrent publications can't be mixed. [by]: the name of the publisher. [onPrepared] gets null if the store did
     * not confirm the parts.
     */
    internal fun prepare(
        base: Long,
        baseStamp: Long,
        text: String,
        by: String,
        onPrepared: (PreparedPolicy?) -> Unit,
    ) {
        val version = base + 1
        val parts = chunks.split(text)
        val head = RightsHead(version, parts.size, chunks.digest(text), by, ctx.time.wallMs)
        val keys = parts.indices.map { AccessKeys.part(version, it) }
        storeParts(version, parts, 0, baseStamp, ArrayList()) { stamps ->
            if (stamps == null) {
                onPrepared(null)
            } else {
                val partGuards = keys.zip(stamps) { key, stamp -> Guard(key, stamp) }
                val guards = listOf(Guard(AccessKeys.HEAD, baseStamp)) + partGuards
                onPrepared(PreparedPolicy(version, StateOp.Txn(guards, listOf(Write.Put(AccessKeys.HEAD, head)))))
            }
        }
    }

    /**
     * Stores [parts] from index [from] on, as many in one transaction as fit. [stamps]: the stamps of the parts before
     * [from]. [onStored] gets the stamps of all parts, or null if the store did not confirm one of the transactions.
     */
    private fun storeParts(
        version: Long,
        parts: List<String>,
        from: Int,
        baseStamp: Long,
        stamps: ArrayList<Long>,
        onStored: (List<Long>?) -> Unit,
    ) {
        if (from >= parts.size) {
            onStored(stamps)
            return
        }
        val batch = parts.drop(from).take(chunks.perTransaction)
        val writes = batch.mapIndexed { index, part ->
            Write.Put(AccessKeys.part(version, from + index), RightsPart(part))
        }
        ctx.out.state(StateOp.Txn(listOf(Guard(AccessKeys.HEAD, baseStamp)), writes)) { result ->
            if (result !is StateResult.Committed) {
                onStored(null)
            } else {
                repeat(batch.size) { stamps.add(result.revision) }
                storeParts(version, parts, from + batch.size, baseStamp, stamps, onStored)
            }
        }
    }

    private companion object {
        const val NEVER = -1e12
        const val READ_INTERVAL_S = 0.4

        /** The maximum number of parts of one text that are read. */
        const val MAX_PARTS = 400
    }
}
