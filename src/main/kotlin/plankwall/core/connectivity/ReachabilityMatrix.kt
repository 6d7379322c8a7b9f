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
 * What this node knows of its own and its peers' links, and how old that is. It only chooses whom to ask and where to
 * redirect a worker; no task counts as gone and no leader as replaced because of it.
 *
 * A partition can hold frames back for minutes and then deliver them all at once. Therefore each frame echoes the
 * sequence number of the newest frame that its sender has received from this node: it was made after this node sent
 * that one, which bounds its age by this node's clock alone. This is called proven freshness here.
 */
class ReachabilityMatrix(private val ctx: Context) {
    /** The newest status of a peer; all moments in seconds of this node's clock. */
    private class Peer(val status: PeerStatus, val receivedAt: Double, val provenAt: Double, val echoedAt: Double)

    private val peers = HashMap<String, Peer>()
    private val store = StoreReachability(ctx)
    private val storeSucceededAt = DoubleArray(StoreUse.entries.size) { Double.NaN }
    private var cloudSucceededAt = Double.NaN

    // A restarted process begins beyond all numbers that it can have sent before: it sends one frame a second, and the
    // incarnation grows by a thousand a second.
    private var seq = ctx.incarnation
    private val sentAtBySeq = LinkedHashMap<Long, Double>()

    /** The newest session plan that any leader has published, also one that no longer leads. */
    var lastSessionPlan: SessionPlan? = null
        private set

    init {
        ctx.out.onState = ::onStateResult
        ctx.out.onCloud = { if (it != CloudResult.Trouble) cloudSucceededAt = ctx.now }
    }

    /** Takes in a peer's status; false if it is older than the known one and must be ignored. */
    fun onStatus(status: PeerStatus): Boolean {
        val known = peers[status.node]
        if (known != null && isOlder(status, known.status)) return false
        val echo = status.links?.echoes?.get(ctx.settings.node)
        val echoedAt = echo?.let { sentAtBySeq[it] } ?: Double.NEGATIVE_INFINITY
        val provenAt = if (echo == null) ctx.now else echoedAt
        peers[status.node] = Peer(status, ctx.now, provenAt, echoedAt)
        status.sessions?.plan?.let { if (it.epoch >= (lastSessionPlan?.epoch ?: 0L)) lastSessionPlan = it }
        return true
    }

    private fun isOlder(status: PeerStatus, known: PeerStatus): Boolean {
        val newSeq = status.links?.seq
        val knownSeq = known.links?.seq
        return if (newSeq != null && knownSeq != null) newSeq <= knownSeq else status.incarnation < known.incarnation
    }

    /** The newest status of [node], however old; null if none has come. */
    fun statusOf(node: String): PeerStatus? = peers[node]?.status

    /** The statuses received within the last few seconds, whenever they were made. */
    fun livePeers(): List<PeerStatus> = peers.values.filter { ctx.now - it.receivedAt < FRESH_S }.map { it.status }

    /**
     * A moment, in seconds of this node's clock, after which the newest status of [node] was surely made; negative
     * infinity if none is known. A status without an echo counts from when it was received.
     */
    fun provenAt(node: String): Double = peers[node]?.provenAt ?: Double.NEGATIVE_INFINITY

    /** Like [provenAt], but only by an echo: a status without one may be of any age. */
    fun echoedAt(node: String): Double = peers[node]?.echoedAt ?: Double.NEGATIVE_INFINITY

    /** Whether the newest status of [node] is surely new. */
    fun isFresh(node: String): Boolean = ctx.now - provenAt(node) < FRESH_S

    /** The statuses that are surely new, which takes a link that is open in both directions. */
    fun freshPeers(): List<PeerStatus> = peers.values.filter { ctx.now - it.provenAt < FRESH_S }.map { it.status }

    /** The sequence number of the newest frame of [node], to be echoed to it; 0 if it sends no numbers. */
    fun lastSeqFrom(node: String): Long = peers[node]?.status?.links?.seq ?: 0L

    /** Seconds since this node sent the frame numbered [echo]; infinite if it is not remembered. */
    fun echoAgeS(echo: Long): Double = sentAtBySeq[echo]?.let { ctx.now - it } ?: Double.POSITIVE_INFINITY

    /** Whether [node] understands relayed heartbeats: one that sends sequence numbers does. */
    fun supportsRelay(node: String): Boolean = statusOf(node)?.links != null

    /** Whether the state service serves this node, by the calls that it makes regularly. */
    val storeReachable: Boolean get() = store.isReachable

    /** Whether the state service serves other nodes but not this one, so that users should go to those. */
    fun onlyOthersHaveStore(): Boolean = !storeReachable && livePeers().any { it.stateReachable }

    /** A regular call to the state service was sent. */
    fun storeAsked() = store.onCallSent()

    /** A regular call to the state service ended with [result]. */
    fun storeAnswered(result: StateResult) = store.onResult(result)

    private fun onStateResult(op: StateOp, result: StateResult) {
        if (!StoreReachability.isFailure(result)) storeSucceededAt[useOf(op).ordinal] = ctx.now
    }

    private fun useOf(op: StateOp): StoreUse = when (op) {
        is StateOp.Get, is StateOp.Range, is StateOp.Changes -> StoreUse.READ
        is StateOp.Txn, is StateOp.Grant, is StateOp.Drop -> StoreUse.WRITE
        is StateOp.Renew -> StoreUse.RENEW
        is StateOp.Watch -> StoreUse.WATCH
    }

    /**
     * Starts this node's next status frame: takes a sequence number and reports its links. The zones are left empty for
     * the leader to fill in.
     */
    fun report(recentWorkers: Int, leader: LeadershipClaim?, successor: String?): ReachabilityReport {
        sentAtBySeq[++seq] = ctx.now
        if (sentAtBySeq.size > MAX_REMEMBERED_FRAMES) sentAtBySeq.remove(sentAtBySeq.keys.first())
        val echoes = peers.mapNotNull { (node, peer) -> peer.status.links?.let { node to it.seq } }.toMap()
        return ReachabilityReport(
            seq,
            echoes,
            storeSucceededAt.map(::ageMs),
            ageMs(cloudSucceededAt),
            recentWorkers,
            emptyList(),
            leader?.toSighting(ctx.now),
            successor,
        )
    }

    private fun ageMs(at: Double): Int = if (at.isNaN()) -1 else ((ctx.now - at) * 1000).toInt()

    companion object {
        /** A status comes once a second; two or three may be lost or late. */
        const val FRESH_S = 4.0
        private const val MAX_REMEMBERED_FRAMES = 120
    }
}
