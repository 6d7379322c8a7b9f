package plankwall.core.cancellations

import org.slf4j.LoggerFactory
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.statemachine.Context
import plankwall.wire.CancellationUpdate
import plankwall.wire.PeerStatus

/**
 * The cancelled jobs known to this node, and the times up to which it knows all of them. A node that renews a worker's
 * lease keeps the worker's tasks running, among them those of a job whose cancellation was confirmed to a user. So a
 * leader has to learn of the cancellation in time even if the state service refuses its calls, and has to withhold
 * answers while it can't be sure that it has ([isUpToDate]).
 *
 * There are two such times by this node's own clock, neither of which ever moves back:
 * - [storedKnownUpTo]: every cancellation that was stored before it is known here, since this node or a peer began a
 * read of the store at that moment.
 * - [confirmedKnownUpTo]: every cancellation that was confirmed to a user before it is known here. A cancellation is
 * stored before it is confirmed, so this moment is at least [storedKnownUpTo]. It is later if each peer confirms that
 * its list of cancellations is complete ([PeerCancellations]), with an echo of a frame of this node that bounds the age
 * of its update. A peer that is silent or was restarted confirms nothing.
 *
 * Owns the set of known cancellations. The set is not stored, since the jobs' records are.
 */
class Cancellations(private val ctx: Context, private val reachability: ReachabilityMatrix) {
    private val log = LoggerFactory.getLogger("cancellations")
    private val localCancellations = LocalCancellations(ctx)
    private val peers = HashMap<String, PeerCancellations>()
    private var startedAt = Double.NaN

    private val knownJobs = object : LinkedHashMap<String, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > MAX_KNOWN
    }

    /** Called once for each cancellation that this node learns of, from whatever source. */
    var onLearned: (job: String) -> Unit = {}

    /** The moment up to which every stored cancellation is known here, in seconds of the monotonic clock. */
    var storedKnownUpTo = Double.NEGATIVE_INFINITY
        private set

    /**
     * The moment up to which every cancellation that was confirmed to a user is known here, in seconds of the monotonic
     * clock.
     */
    var confirmedKnownUpTo = Double.NEGATIVE_INFINITY
        private set

    /**
     * The maximum age of [confirmedKnownUpTo], in seconds, at which workers are still answered. An answer given now
     * lets tasks run for a lease, and a user whose cancellation was confirmed just after [confirmedKnownUpTo] must not
     * see them for longer than `cancel_s`. Where `cancel_s` is too short for that, no answer at all could keep the
     * rule, and a machine that merely can't be reached would break it too; the minimum then lets a node go on that is
     * connected to its peers.
     */
    val toleratedLagS: Double =
        (ctx.settings.workers.cancelS - ctx.leaseExpiryBoundS).coerceAtLeast(ReachabilityMatrix.FRESH_S)

    /**
     * Whether a worker's lease may be renewed now: no cancellation that is unknown here can take longer than `cancel_s`
     * because of it.
     */
    val isUpToDate: Boolean get() = ctx.now - confirmedKnownUpTo <= toleratedLagS

    /** Whether [job] is known to be cancelled. */
    fun isKnown(job: String): Boolean = job in knownJobs

    /**
     * Records that [job] is stored as cancelled. Must be called before any user gets the confirmation, and for each
     * cancelled job that a read of the store returns.
     */
    fun recordCancelled(job: String) {
        if (add(job)) advanceKnownMoments()
    }

    private fun add(job: String): Boolean {
        if (knownJobs.put(job, Unit) != null) return false
        // Entries from peers are added too: this node's list is complete only if it names everything that this node may
        // later read from the store, or confirm to a user, as known already.
        localCancellations.add(job)
        onLearned(job)
        return true
    }

    /**
     * Records that the store was read as of [begunAt] or later, and that all its cancelled live jobs were passed to
     * [recordCancelled].
     */
    fun onStoreRead(begunAt: Double) {
        storedKnownUpTo = maxOf(storedKnownUpTo, begunAt)
        advanceKnownMoments()
    }

    /** Forgets [job], which has ended: none of its tasks is on any machine. */
    fun onJobEnded(job: String) {
        knownJobs.remove(job)
    }

    /**
     * Handles the newest [status] of its node. Older ones need not be handled, since they hold nothing that the newest
     * does not.
     */
    fun onStatus(status: PeerStatus) {
        val update = status.cancellations
        val links = status.links
        if (update == null || links == null) {
            peers.remove(status.node)
            return
        }
        // Entries that have arrived at the peer need not be sent to it again.
        links.echoes[ctx.settings.node]?.let { localCancellations.onArrived(status.node, it) }
        update.jobs.forEach { if (add(it)) log.info("cancellation learned from peer job={} peer={}", it, status.node) }
        peers.getOrPut(status.node) { PeerCancellations() }
            .onUpdate(status.incarnation, update, reachability.echoedAt(status.node), ctx.now)
        advanceKnownMoments()
    }

    /** Returns the update that this node sends in the frame numbered [seq]. */
    fun nextUpdate(seq: Long): CancellationUpdate =
        localCancellations.nextUpdate(seq, millisSince(storedKnownUpTo), ((ctx.now - startedAt) * 1000).toLong())

    /**
     * Returns the milliseconds since [moment], or -1 if there is none. Rounds up, so that the peer does not take the
     * read to be newer than it is.
     */
    private fun millisSince(moment: Double): Long =
        if (moment == Double.NEGATIVE_INFINITY) -1 else ((ctx.now - moment) * 1000).toLong() + 1

    private fun advanceKnownMoments() {
        // A read of the store by a peer proves as much as a read by this node, if everything that the peer learned
        // since then has arrived here and everything that it knew before is known here. The read of one peer may make
        // this true for another peer.
        do {
            val previous = storedKnownUpTo
            for (peer in peers.values) {
                if (peer.completeSince <= storedKnownUpTo) storedKnownUpTo = maxOf(storedKnownUpTo, peer.storeReadAt)
            }
        } while (storedKnownUpTo > previous)
        val confirmedByAllPeers = ctx.settings.peers.minOfOrNull { peerConfirmedUpTo(it.node) } ?: ctx.now
        confirmedKnownUpTo = maxOf(confirmedKnownUpTo, storedKnownUpTo, confirmedByAllPeers)
    }

    private fun peerConfirmedUpTo(node: String): Double =
        peers[node]?.takeIf { it.completeSince <= storedKnownUpTo }?.sentAt ?: Double.NEGATIVE_INFINITY

    /** Returns the names of the peers without a recent confirmation, for the log. */
    fun unconfirmedPeers(): String = ctx.settings.peers.filter {
        ctx.now - peerConfirmedUpTo(it.node) > ReachabilityMatrix.FRESH_S
    }.joinToString(",") { it.node }.ifEmpty { "none" }

    /** To be called on each tick. */
    fun tick() {
        if (startedAt.isNaN()) startedAt = ctx.now
        // A node without peers knows all cancellations that were confirmed, since it confirmed them itself. With peers
        // the moments change only with their updates.
        if (ctx.settings.peers.isEmpty()) advanceKnownMoments()
    }

    private companion object {
        /** Far more than are ever live at the same time. */
        const val MAX_KNOWN = 10_000
    }
}
