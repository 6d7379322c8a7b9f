package plankwall.core.cancellations

import org.slf4j.LoggerFactory
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.statemachine.Context
import plankwall.wire.CancellationUpdate
import plankwall.wire.PeerStatus

/**
 * What this node knows of withdrawn jobs, and up to when it knows them all. Whoever keeps a worker's lease alive keeps
 * its tasks alive, among them those of a job whose user was told that it is withdrawn; so a leader has to hear of that
 * in time though the state service refuses it, and has to stop answering when it can't be sure to have heard
 * ([isAware]).
 *
 * Two moments by our own clock, neither of which ever goes back:
 * - [storedUpTo]: every withdrawal that was stored before it is known here: a reading of the store begun then, our own
 * or a peer's.
 * - [knownUpTo]: every withdrawal that a user was told of before it is known here. What was told was stored before, so
 * it is at least [storedUpTo]; beyond that each peer has to vouch for what it told, with a list that is whole
 * ([PeerCancellations]) and with an echo of our own that says how old its word can be. One that is silent or forgets what it
 * told vouches for nothing.
 */
class Cancellations(private val ctx: Context, private val reachability: ReachabilityMatrix) {
    private val log = LoggerFactory.getLogger("cancellations")
    private val own = LocalCancellations(ctx)
    private val peers = HashMap<String, PeerCancellations>()
    private var startedAt = Double.NaN

    private val known = object : LinkedHashMap<String, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > MAX_KNOWN
    }

    /** Learns of each withdrawal once, however the word of it came. */
    var onLearned: (job: String) -> Unit = {}

    var storedUpTo = Double.NEGATIVE_INFINITY
        private set
    var knownUpTo = Double.NEGATIVE_INFINITY
        private set

    /**
     * How far behind [knownUpTo] may be while workers are answered: an answer of now keeps tasks for a lease, and
     * whoever was told just after [knownUpTo] must not see them longer than `cancel_s`. Where that leaves nothing, no
     * answer at all could keep the rule, and a machine that just can't be reached would break it too; a node that hears
     * its peers goes on then.
     */
    val toleratedLagS: Double =
        (ctx.settings.workers.cancelS - ctx.surelyOverS).coerceAtLeast(ReachabilityMatrix.FRESH_S)

    /** No withdrawal that is unknown here can run out of its time if a worker's lease is renewed now. */
    val isAware: Boolean get() = ctx.now - knownUpTo <= toleratedLagS

    fun isKnown(job: String): Boolean = job in known

    /** [job] is stored as withdrawn; to be said before any user is told so, and as the store is read. */
    fun learn(job: String) {
        if (note(job)) advance()
    }

    private fun note(job: String): Boolean {
        if (known.put(job, Unit) != null) return false
        // Also what a peer said: our own list is whole only if it names all that we may read or tell later as known
        // already.
        own.add(job)
        onLearned(job)
        return true
    }

    /** The store was read as it stood at [begunAt] or later, and all that it says of live jobs was [learn]ed. */
    fun readUpTo(begunAt: Double) {
        storedUpTo = maxOf(storedUpTo, begunAt)
        advance()
    }

    /** [job] is over: nothing of it is on any machine. */
    fun onJobEnded(job: String) {
        known.remove(job)
    }

    /**
     * To be told of each [status] that is the newest of its node; an older one says nothing that the newest does not.
     */
    fun onStatus(status: PeerStatus) {
        val news = status.cancellations
        val links = status.links
        if (news == null || links == null) {
            peers.remove(status.node)
            return
        }
        // What it has had from us it need not tell again.
        links.echoes[ctx.settings.node]?.let { own.arrived(status.node, it) }
        news.jobs.forEach { if (note(it)) log.info("job {} is withdrawn, says {}", it, status.node) }
        peers.getOrPut(status.node) {
            PeerCancellations()
        }.onUpdate(status.incarnation, news, reachability.echoedAt(status.node), ctx.now)
        advance()
    }

    /** This node's own word for the frame numbered [seq]. */
    fun nextUpdate(seq: Long): CancellationUpdate =
        own.nextUpdate(seq, millisSince(storedUpTo), ((ctx.now - startedAt) * 1000).toLong())

    private fun millisSince(at: Double): Long = if (at ==
        Double.NEGATIVE_INFINITY
    ) {
        -1
    } else {
        ((ctx.now - at) * 1000).toLong() + 1
    }

    private fun advance() {
        // A peer's reading says as much as our own, if we have all that it read since and knew before; and one may
        // bring in another.
        do {
            val before = storedUpTo
            for (peer in peers.values) {
                if (peer.wholeSince <=
                    storedUpTo
                ) {
                    storedUpTo = maxOf(storedUpTo, peer.storedUpTo)
                }
            }
        } while (storedUpTo > before)
        val vouched = ctx.settings.peers.minOfOrNull { vouchedFor(it.node) } ?: ctx.now
        knownUpTo = maxOf(knownUpTo, storedUpTo, vouched)
    }

    private fun vouchedFor(node: String): Double =
        peers[node]?.takeIf { it.wholeSince <= storedUpTo }?.madeAt ?: Double.NEGATIVE_INFINITY

    /** Who vouches for nothing, for the log. */
    fun doubts(): String = ctx.settings.peers.filter {
        ctx.now - vouchedFor(it.node) > ReachabilityMatrix.FRESH_S
    }.joinToString(",") { it.node }.ifEmpty { "nobody" }

    fun tick() {
        if (startedAt.isNaN()) startedAt = ctx.now
        // A node by itself knows all that it told; with peers this changes only as they speak.
        if (ctx.settings.peers.isEmpty()) advance()
    }

    private companion object {
        /** More than are ever live at once by far. */
        const val MAX_KNOWN = 10_000
    }
}
