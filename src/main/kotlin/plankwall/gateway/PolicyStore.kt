package plankwall.gateway

import okio.ByteString.Companion.encodeUtf8
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

/**
 * The rights as the state service holds them. Read anew several times a second, so that what was revoked is refused
 * everywhere within a second; that no change slips through meanwhile is seen to by the guard on the head's stamp.
 */
class PolicyStore(private val ctx: Context, private val firstRights: String?) {
    private val log = LoggerFactory.getLogger("rights")

    var policy: Policy = Policy.NOBODY
        private set
    var head: RightsHead? = null
        private set

    /** The stamp of the head that [policy] was read with: what every allowed change is guarded on. */
    var stamp = 0L
        private set
    var text = ""
        private set

    /** When the reading began that last found [policy] to be the newest. */
    private var confirmedAt = NEVER
    private var reading = false
    private var nextRead = 0.0
    private val waiting = ArrayList<() -> Unit>()

    val known: Boolean get() = head != null

    fun fresh(withinS: Double): Boolean = ctx.now - confirmedAt <= withinS

    fun tick() {
        if (!reading && ctx.now >= nextRead) read()
    }

    /** Reads the head now; [then] is called when that has been tried. */
    fun refresh(then: () -> Unit) {
        waiting.add(then)
        if (!reading) read()
    }

    private fun read() {
        reading = true
        val began = ctx.now
        nextRead = began + EVERY_S
        ctx.out.state(StateOp.Get(AccessKeys.HEAD)) { result ->
            val item = (result as? StateResult.Item)?.item
            val found = item?.value as? RightsHead
            when {
                result !is StateResult.Item -> done()
                item == null || found == null -> begin()
                item.version == stamp -> {
                    confirmedAt = began
                    done()
                }
                else -> load(found, item.version, began)
            }
        }
    }

    private fun done() {
        reading = false
        val told = waiting.toList()
        waiting.clear()
        told.forEach { it() }
    }

    /** The store holds no rights at all: the operators' first version is put there, by whichever node comes first. */
    private fun begin() {
        if (firstRights == null || stamp > 0) {
            // A head that was there and is gone: somebody with access to the store took it. Nobody may do anything.
            if (stamp > 0) log.error("the rights are gone from the state service")
            policy = Policy.NOBODY
            head = null
            done()
            return
        }
        publish(null, firstRights, "first version", emptyList()) { done() }
    }

    private fun load(found: RightsHead, version: Long, began: Double) = readText(found) { read ->
        if (read == null) {
            done()
            return@readText
        }
        policy = try {
            PolicyReader.read(read, found.version).also {
                log.info("rights version {} by {}: {} principals", found.version, found.by, it.principals.size)
            }
        } catch (e: InvalidPolicyException) {
            // Checked before it was stored, so it is a later version's language, or somebody's edit of the store.
            log.error("rights version {} can't be read, so nobody may do anything: {}", found.version, e.message)
            Policy.NOBODY
        }
        head = found
        text = read
        stamp = version
        confirmedAt = began
        done()
    }

    /** The text of a version; [then] gets null if it can't be read, or is not what [head] says. */
    private fun readText(head: RightsHead, then: (String?) -> Unit) = parts(head.version) { parts ->
        val text = parts?.take(head.parts)?.joinToString("")
        if (text != null &&
            digest(text) != head.digest
        ) {
            log.error("rights version {}: the stored text is not the one that was published", head.version)
        }
        then(text?.takeIf { digest(it) == head.digest })
    }

    /** [then] gets null if the store can't be read. */
    fun parts(version: Long, then: (List<String>?) -> Unit) =
        ctx.out.state(StateOp.Range(AccessKeys.parts(version), null, MAX_PARTS)) { result ->
            then((result as? StateResult.Items)?.items?.mapNotNull { (it.value as? RightsPart)?.text })
        }

    /**
     * A version that is ready to be published once its head is: [txn] writes the head, guarded on all that it names.
     */
    class Prepared(val version: Long, val txn: StateOp.Txn)

    /**
     * Stores the parts of [text] as the version after [base] and hands on what publishes it. The parts count for
     * nothing until the head names them; it is guarded on each, so that two who publish at the same time can't be
     * mixed.
     */
    fun prepare(base: Long, baseStamp: Long, text: String, by: String, then: (Prepared?) -> Unit) {
        val version = base + 1
        val pieces = pieces(text)
        val head = RightsHead(version, pieces.size, digest(text), by, ctx.time.wallMs)
        val keys = pieces.indices.map { AccessKeys.part(version, it) }
        put(version, pieces, 0, baseStamp, ArrayList()) { stamps ->
            if (stamps == null) {
                then(null)
            } else {
                val guards =
                    listOf(Guard(AccessKeys.HEAD, baseStamp)) + keys.zip(stamps) { key, stamp -> Guard(key, stamp) }
                then(Prepared(version, StateOp.Txn(guards, listOf(Write.Put(AccessKeys.HEAD, head)))))
            }
        }
    }

    private fun put(
        version: Long,
        pieces: List<String>,
        from: Int,
        baseStamp: Long,
        stamps: ArrayList<Long>,
        then: (List<Long>?) -> Unit,
    ) {
        if (from >= pieces.size) {
            then(stamps)
            return
        }
        val perTxn = minOf(ctx.settings.stateTight.txnOps, maxOf(1, (MAX_BYTES / pieceBytes))).coerceAtLeast(1)
        val now = pieces.drop(from).take(perTxn)
        val writes = now.mapIndexed { n, piece -> Write.Put(AccessKeys.part(version, from + n), RightsPart(piece)) }
        ctx.out.state(StateOp.Txn(listOf(Guard(AccessKeys.HEAD, baseStamp)), writes)) { result ->
            if (result !is StateResult.Committed) {
                then(null)
            } else {
                repeat(now.size) { stamps.add(result.revision) }
                put(version, pieces, from + now.size, baseStamp, stamps, then)
            }
        }
    }

    private fun publish(base: RightsHead?, text: String, by: String, more: List<Write>, then: () -> Unit) {
        prepare(base?.version ?: 0, if (base == null) 0 else stamp, text, by) { ready ->
            if (ready == null) then() else ctx.out.state(ready.txn.copy(writes = ready.txn.writes + more)) { then() }
        }
    }

    private val pieceBytes = (ctx.settings.stateTight.valueKb * 1024 * 0.8).toInt()

    /** JSON may need two bytes where the text needs one, and some characters take three. */
    private fun pieces(text: String): List<String> {
        val found = ArrayList<String>()
        var from = 0
        while (from < text.length) {
            var to = from
            var size = 0
            while (to < text.length && size < pieceBytes) size += cost(text[to++])
            if (to < text.length && text[to - 1].isHighSurrogate()) to--
            found.add(text.substring(from, to))
            from = to
        }
        return found.ifEmpty { listOf("") }
    }

    private fun cost(c: Char): Int = when {
        c == '\n' || c == '"' || c == '\\' || c == '\r' || c == '\t' -> 2
        c < ' ' -> 6
        c < '\u0080' -> 1
        else -> 3
    }

    private fun digest(text: String): String = text.encodeUtf8().sha256().base64Url()

    private companion object {
        const val NEVER = -1e12
        const val EVERY_S = 0.4
        const val MAX_PARTS = 400
        const val MAX_BYTES = 40_000
    }
}
