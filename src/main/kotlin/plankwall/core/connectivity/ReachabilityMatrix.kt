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
 * The state of this node's links and those of its peers as far as it is known here, with the age of each observation.
 * It only serves to choose which node to ask and where to redirect a worker; no task is considered gone and no leader
 * replaced because of it.
 *
 * A partition can hold frames back for minutes and then deliver them all at once. Therefore each frame echoes the
 * sequence number of the newest frame that its sender has received from this node. The frame was made after this node
 * sent the echoed one, which bounds the frame's age by this node's clock alone. This is called proven freshness here.
 */
class ReachabilityMatrix(private val ctx: Context) {
    /** The newest status of a peer. All moments are in seconds of this node's clock. */
    private class Peer(val status: PeerStatus, val receivedAt: Double, val provenAt: Double, val echoedAt: Double)

    private val peers = HashMap<String, Peer>()
    private val store = StoreReachability(ctx)

    /**
     * The time at which each kind of call to the state service last succeeded, by the ordinal of [StoreUse]; NaN if it
     * never did.
     */
    private val storeSucceededAt = DoubleArray(StoreUse.entries.size) { Double.NaN }

    /** The time at which the cloud last answered a call; NaN if it never did. */
    private var cloudSucceededAt = Double.NaN

    // The sequence number of the newest frame. A restarted process begins above all numbers that it can have sent
    // before: it sends one frame a second, while the incarnation grows by a thousand a second.
    private var lastSentSeq = ctx.incarnation
    private val sentAtBySeq = LinkedHashMap<Long, Double>()

    /** The session plan of the highest epoch that any leader has published, including a leader that no longer leads. */
    var lastSessionPlan: SessionPlan? = null
        private set

    init {
        ctx.out.onState = ::onStateResult
        ctx.out.onCloud = { if (it != CloudResult.Trouble) cloudSucceededAt = ctx.now }
    }

    /** Records the [status] of a peer. Returns false if it is older than the known one and must be ignored. */
    fun onStatus(status: PeerStatus): Boolean {
        val knownPeer = peers[status.node]
        if (knownPeer != null && isOlder(status, knownPeer.status)) return false
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

    /** Returns the newest status of [node], however old it is; null if none has arrived. */
    fun statusOf(node: String): PeerStatus? = peers[node]?.status

    /** Returns the statuses that arrived within the last [FRESH_S] seconds, whenever they were made. */
    fun recentPeers(): List<PeerStatus> = peers.values.filter { ctx.now - it.receivedAt < FRESH_S }.map { it.status }

    /**
     * Returns a moment, in seconds of this node's clock, after which the newest status of [node] was surely made;
     * negative infinity if there is none. A status without an echo counts as made when it arrived.
     */
    fun provenAt(node: String): Double = peers[node]?.provenAt ?: Double.NEGATIVE_INFINITY

    /** Returns a moment like [provenAt], but proven only by an echo: a status without an echo may be of any age. */
    fun echoedAt(node: String): Double = peers[node]?.echoedAt ?: Double.NEGATIVE_INFINITY

    /** Whether the newest status of [node] was surely made within the last [FRESH_S] seconds. */
    fun isFresh(node: String): Boolean = ctx.now - provenAt(node) < FRESH_S

    /** Returns the statuses that are surely fresh. This requires a link to the peer that is open in both directions. */
    fun provenFreshPeers(): List<PeerStatus> = peers.values.filter { ctx.now - it.provenAt < FRESH_S }.map { it.status }

    /** Returns the sequence number of the newest frame of [node], to be echoed to it; 0 if it sends no numbers. */
    fun lastSeqFrom(node: String): Long = peers[node]?.status?.links?.seq ?: 0L

    /**
     * Returns the seconds since this node sent the frame numbered [echo]; infinity if that frame is no longer
     * remembered.
     */
    fun echoAgeS(echo: Long): Double = sentAtBySeq[echo]?.let { ctx.now - it } ?: Double.POSITIVE_INFINITY

    /** Whether [node] understands relayed heartbeats, which every version does that sends sequence numbers. */
    fun supportsRelay(node: String): Boolean = statusOf(node)?.links != null

    /** Whether the state service serves this node, judged by the calls that the node makes regularly. */
    val storeReachable: Boolean get() = store.isReachable

    /** Whether the state service serves other nodes but not this one, so that users should use those nodes. */
    fun isStoreReachableOnlyByPeers(): Boolean = !storeReachable && recentPeers().any { it.isStoreReachable }

    /** Records that a regular call to the state service was sent. */
    fun onStoreCallSent() = store.onCallSent()

    /** Records that a regular call to the state service ended with [result]. */
    fun onStoreCallEnded(result: StateResult) = store.onResult(result)

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
     * Creates the report for this node's next status frame, with a new sequence number and the state of its links. The
     * zones are left empty, to be filled in by the leader.
     */
    fun createReport(recentWorkerCount: Int, leader: LeadershipClaim?, successor: String?): ReachabilityReport {
        sentAtBySeq[++lastSentSeq] = ctx.now
        if (sentAtBySeq.size > MAX_REMEMBERED_FRAMES) sentAtBySeq.remove(sentAtBySeq.keys.first())
        val echoes = peers.mapNotNull { (node, peer) -> peer.status.links?.let { node to it.seq } }.toMap()
        return ReachabilityReport(
            lastSentSeq,
            echoes,
            storeSucceededAt.map(::ageMs),
            ageMs(cloudSucceededAt),
            recentWorkerCount,
            emptyList(),
            leader?.toSighting(ctx.now),
            successor,
        )
    }

    private fun ageMs(moment: Double): Int = if (moment.isNaN()) -1 else ((ctx.now - moment) * 1000).toInt()

    companion object {
        /** A status is sent once a second, and two or three may be lost or late. */
        const val FRESH_S = 4.0
        private const val MAX_REMEMBERED_FRAMES = 120
    }
}
