package plankwall.core.cancellations

import org.slf4j.LoggerFactory
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.statemachine.Context
import plankwall.wire.CancellationUpdate
import plankwall.wire.PeerStatus

/**
 * The cancelled jobs that this node knows, and up to when it knows them all. Whoever renews a worker's lease keeps its
 * tasks running, among them those of a job whose cancellation was confirmed to a user. So a leader has to learn of it
 * in time even if the state service refuses calls, and has to withhold answers when it can't be sure to have done so
 * ([isAware]).
 *
 * Two moments by this node's own clock, neither of which ever goes back:
 * - [storedUpTo]: every cancellation that was stored before it is known here: a read of the store began then, by this
 * node or a peer.
 * - [knownUpTo]: every cancellation that was confirmed to a user before it is known here. What is confirmed was stored
 * before, so it is at least [storedUpTo]. Beyond that each peer has to confirm that its list is complete
 * ([PeerCancellations]), with an echo of a frame of this node that bounds the age of its update. A peer that is silent
 * or was restarted confirms nothing.
 *
 * Owns the set of known cancellations; nothing of it is stored, since the jobs' records are.
 */
class Cancellations(private val ctx: Context, private val reachability: ReachabilityMatrix) {
    private val log = LoggerFactory.getLogger("cancellations")
    private val local = LocalCancellations(ctx)
    private val peers = HashMap<String, PeerCancellations>()
    private var startedAt = Double.NaN

    private val known = object : LinkedHashMap<String, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > MAX_KNOWN
    }

    /** Called for each cancellation once, from whatever source. */
    var onLearned: (job: String) -> Unit = {}

    /** Every cancellation stored before is known here; seconds of the steady clock. */
    var storedUpTo = Double.NEGATIVE_INFINITY
        private set

    /** Every cancellation confirmed to a user before is known here; seconds of the steady clock. */
    var knownUpTo = Double.NEGATIVE_INFINITY
        private set

    /**
     * How far [knownUpTo] may lag while workers are answered: an answer given now keeps tasks for a lease, and a user
     * who got the confirmation just after [knownUpTo] must not see them longer than `cancel_s`. Where that leaves
     * nothing, no answer at all could keep the rule, and a machine that merely can't be reached would break it too; a
     * node that is connected to its peers goes on then.
     */
    val toleratedLagS: Double =
        (ctx.settings.workers.cancelS - ctx.surelyOverS).coerceAtLeast(ReachabilityMatrix.FRESH_S)

    /** No cancellation that is unknown here can exceed `cancel_s` if a worker's lease is renewed now. */
    val isAware: Boolean get() = ctx.now - knownUpTo <= toleratedLagS

    /** Whether [job] is known as cancelled. */
    fun isKnown(job: String): Boolean = job in known

    /** [job] is stored as cancelled. To be called before any user gets the confirmation, and as the store is read. */
    fun learn(job: String) {
        if (add(job)) advance()
    }

    private fun add(job: String): Boolean {
        if (known.put(job, Unit) != null) return false
        // Also what a peer sent: this node's list is complete only if it names everything that the node may later read
        // or confirm as known already.
        local.add(job)
        onLearned(job)
        return true
    }

    /** The store was read as of [begunAt] or later, and all that it holds of live jobs was passed to [learn]. */
    fun readUpTo(begunAt: Double) {
        storedUpTo = maxOf(storedUpTo, begunAt)
        advance()
    }

    /** [job] has ended: nothing of it is on any machine. */
    fun onJobEnded(job: String) {
        known.remove(job)
    }

    /** Takes each [status] that is the newest of its node; an older one holds nothing that the newest does not. */
    fun onStatus(status: PeerStatus) {
        val update = status.cancellations
        val links = status.links
        if (update == null || links == null) {
            peers.remove(status.node)
            return
        }
        // What has arrived there need not be sent again.
        links.echoes[ctx.settings.node]?.let { local.onArrived(status.node, it) }
        update.jobs.forEach { if (add(it)) log.info("cancellation learned from peer job={} peer={}", it, status.node) }
        peers.getOrPut(status.node) { PeerCancellations() }
            .onUpdate(status.incarnation, update, reachability.echoedAt(status.node), ctx.now)
        advance()
    }

    /** What this node sends in the frame numbered [seq]. */
    fun nextUpdate(seq: Long): CancellationUpdate =
        local.nextUpdate(seq, millisSince(storedUpTo), ((ctx.now - startedAt) * 1000).toLong())

    /** Rounded up, so that the peer does not take the read for newer than it is; -1 if there was none. */
    private fun millisSince(at: Double): Long =
        if (at == Double.NEGATIVE_INFINITY) -1 else ((ctx.now - at) * 1000).toLong() + 1

    private fun advance() {
        // A peer's read proves as much as one of this node's own, if all that the peer read since and knew before has
        // arrived here. One peer's read may make that true of another.
        do {
            val before = storedUpTo
            for (peer in peers.values) {
                if (peer.completeSince <= storedUpTo) storedUpTo = maxOf(storedUpTo, peer.storedUpTo)
            }
        } while (storedUpTo > before)
        val confirmed = ctx.settings.peers.minOfOrNull { confirmedUpTo(it.node) } ?: ctx.now
        knownUpTo = maxOf(knownUpTo, storedUpTo, confirmed)
    }

    private fun confirmedUpTo(node: String): Double =
        peers[node]?.takeIf { it.completeSince <= storedUpTo }?.sentAt ?: Double.NEGATIVE_INFINITY

    /** The peers without a recent confirmation, for the log. */
    fun unconfirmedPeers(): String = ctx.settings.peers.filter {
        ctx.now - confirmedUpTo(it.node) > ReachabilityMatrix.FRESH_S
    }.joinToString(",") { it.node }.ifEmpty { "none" }

    /** To be called regularly. */
    fun tick() {
        if (startedAt.isNaN()) startedAt = ctx.now
        // A node without peers knows all that it confirmed; with peers this changes only with their updates.
        if (ctx.settings.peers.isEmpty()) advance()
    }

    private companion object {
        /** More than are ever live at once by far. */
        const val MAX_KNOWN = 10_000
    }
}
