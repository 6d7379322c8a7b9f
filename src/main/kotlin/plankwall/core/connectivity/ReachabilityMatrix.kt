package plankwall.core.connectivity

import plankwall.core.statemachine.Context
import plankwall.wire.CloudResult
import plankwall.wire.PeerStatus
import plankwall.wire.ReachabilityReport
import plankwall.wire.SessionPlan
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.StoreUse

/**
 * What this node knows of links, its own and its peers', and how old that is. Beliefs only: they choose whom to ask and
 * where to send a worker; nothing counts as gone, and nobody as out of office, because of them.
 *
 * Frames can be held back by a cut for minutes and then come all at once. So each names the newest frame that its
 * sender has had from us: it was made after we sent that one, which bounds its age by our own clock alone.
 */
class ReachabilityMatrix(private val ctx: Context) {
    private class Heard(val status: PeerStatus, val at: Double, val provenAt: Double, val echoedAt: Double)

    private val peers = HashMap<String, Heard>()

    /** The newest plan of sessions that any leader told, also of one that is gone since. */
    var lastSessionPlan: SessionPlan? = null
        private set
    private val storeOk = DoubleArray(StoreUse.entries.size) { Double.NaN }
    private var cloudOk = Double.NaN
    private var storeMisses = 0
    private var storeSilentSince = Double.NaN

    // A restarted process begins beyond all that it can have sent before: a frame a second, against a thousand numbers
    // a second.
    private var seq = ctx.incarnation
    private val sentAt = LinkedHashMap<Long, Double>()

    init {
        ctx.out.onState = ::noteState
        ctx.out.onCloud = { if (it != CloudResult.Trouble) cloudOk = ctx.now }
    }

    /** Takes in a peer's word. False for one that is older than what was known: it says nothing any more. */
    fun onStatus(status: PeerStatus): Boolean {
        val known = peers[status.node]
        if (known != null && isOlder(status, known.status)) return false
        val echoed = status.links?.echoes?.get(ctx.settings.node)
        val echoedAt = echoed?.let { sentAt[it] } ?: Double.NEGATIVE_INFINITY
        val proven = if (echoed == null) ctx.now else echoedAt
        peers[status.node] = Heard(status, ctx.now, proven, echoedAt)
        status.sessions?.plan?.let { if (it.epoch >= (lastSessionPlan?.epoch ?: 0L)) lastSessionPlan = it }
        return true
    }

    private fun isOlder(status: PeerStatus, known: PeerStatus): Boolean {
        val new = status.links?.seq
        val old = known.links?.seq
        return if (new != null && old != null) new <= old else status.incarnation < known.incarnation
    }

    /** The newest word of [node], however old. */
    fun statusOf(node: String): PeerStatus? = peers[node]?.status

    /** Peers heard within the last few seconds. */
    fun livePeers(): List<PeerStatus> = peers.values.filter { ctx.now - it.at < FRESH_S }.map { it.status }

    /** When the newest word of [node] was surely not made yet, in seconds of our clock; negative infinity: unknown. */
    fun provenAt(node: String): Double = peers[node]?.provenAt ?: Double.NEGATIVE_INFINITY

    /**
     * Like [provenAt], but by a frame of ours that [node] shows and by nothing else: a node that shows none may be of
     * any age.
     */
    fun echoedAt(node: String): Double = peers[node]?.echoedAt ?: Double.NEGATIVE_INFINITY

    fun isFresh(node: String): Boolean = ctx.now - provenAt(node) < FRESH_S

    /** Peers whose newest word is surely new, in both directions: they hear us too. */
    fun freshPeers(): List<PeerStatus> = peers.values.filter { ctx.now - it.provenAt < FRESH_S }.map { it.status }

    /** The newest frame that [node] is known to have sent, to be shown to it as proof; 0 if it sends no numbers. */
    fun lastSeqFrom(node: String): Long = peers[node]?.status?.links?.seq ?: 0L

    /** How long ago our frame [echo] was sent, in seconds; infinite if it is not remembered. */
    fun echoAgeS(echo: Long): Double = sentAt[echo]?.let { ctx.now - it } ?: Double.POSITIVE_INFINITY

    /** A node that has sent us numbers knows the frames that relay reports. */
    fun supportsRelay(node: String): Boolean = statusOf(node)?.links != null

    /**
     * Whether the state service serves this node: the questions that every node asks all the time, whether somebody
     * waits for something or not. One that is held up for long counts as refused before it is given up.
     */
    val storeReachable: Boolean
        get() = storeMisses < 2 && !(ctx.now - storeSilentSince > STORE_SILENT_S)

    /** The state service is there for others and not for this node: users had better go to them. */
    fun onlyOthersHaveStore(): Boolean = !storeReachable && livePeers().any { it.stateReachable }

    /** To be told of each regular question when it is sent, and of what became of it. */
    fun storeAsked() {
        if (storeSilentSince.isNaN()) storeSilentSince = ctx.now
    }

    fun storeAnswered(result: StateResult) {
        if (isMiss(result)) {
            storeMisses++
        } else {
            storeMisses = 0
            storeSilentSince = Double.NaN
        }
    }

    private fun noteState(op: StateOp, result: StateResult) {
        if (!isMiss(result)) storeOk[useOf(op).ordinal] = ctx.now
    }

    private fun isMiss(result: StateResult): Boolean = result == StateResult.Refused || result == StateResult.Unknown

    private fun useOf(op: StateOp): StoreUse = when (op) {
        is StateOp.Get, is StateOp.Range, is StateOp.Changes -> StoreUse.READ
        is StateOp.Txn, is StateOp.Grant, is StateOp.Drop -> StoreUse.WRITE
        is StateOp.Renew -> StoreUse.RENEW
        is StateOp.Watch -> StoreUse.WATCH
    }

    /** Begins this node's next word on its links; what others add to it is left empty. */
    fun report(recentWorkers: Int, leader: LeadershipClaim?, successor: String?): ReachabilityReport {
        sentAt[++seq] = ctx.now
        if (sentAt.size > REMEMBERED) sentAt.remove(sentAt.keys.first())
        val echoes = peers.mapNotNull { (node, heard) -> heard.status.links?.let { node to it.seq } }.toMap()
        return ReachabilityReport(
            seq,
            echoes,
            storeOk.map(::ageMs),
            ageMs(cloudOk),
            recentWorkers,
            emptyList(),
            leader?.word(ctx.now),
            successor,
        )
    }

    private fun ageMs(at: Double): Int = if (at.isNaN()) -1 else ((ctx.now - at) * 1000).toInt()

    companion object {
        /** Words come once a second; two or three may be lost or late. */
        const val FRESH_S = 4.0

        /** An answer takes some milliseconds, a few hundred now and then; the call itself is given up only later. */
        private const val STORE_SILENT_S = 1.0
        private const val REMEMBERED = 120
    }
}
