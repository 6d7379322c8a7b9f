package plankwall.core.connectivity

import plankwall.core.statemachine.Context
import plankwall.wire.LeaderSighting
import plankwall.wire.PeerStatus

/** That [node] led as [epoch] at [at] or later, in seconds of our clock. */
data class LeadershipClaim(val node: String, val epoch: Long, val at: Double) {
    fun word(now: Double) = LeaderSighting(node, epoch, ((now - at) * 1000).toInt().coerceAtLeast(0))
}

/**
 * Who leads, by the freshest proof: the store's record, a leader's own frame, or what a peer knows by one of the two.
 * The highest epoch counts. A node that knows of a higher epoch than any claim names nobody: so wherever a worker is
 * sent, the epochs only rise, and it can't go in circles.
 */
class LeaderRouting(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val leaseS: Double,
) {
    private var stored: LeadershipClaim? = null

    /** The highest epoch heard of from anybody. */
    var epochSeen = 0L
        private set

    fun onEpoch(epoch: Long) {
        epochSeen = maxOf(epochSeen, epoch)
    }

    /** What a read of the leader's key showed that began at [askedAt]; null: nobody holds it. */
    fun onLeaderKeyRead(node: String?, epoch: Long, askedAt: Double) {
        stored = node?.let { LeadershipClaim(it, epoch, askedAt) }
        onEpoch(epoch)
    }

    /** Proof that this node has itself, as its peers may be told. */
    fun provenLeader(): LeadershipClaim? = (
        reachability.freshPeers().filter {
            it.leading
        }.map { LeadershipClaim(it.node, it.epochSeen, reachability.provenAt(it.node)) } +
            listOfNotNull(freshStored())
        )
        .filter { isInOffice(it) }.maxByOrNull { it.epoch }

    /** The leader in office, or null if that is not known; never this node. */
    fun leader(): LeadershipClaim? {
        val best =
            (listOfNotNull(provenLeader()) + reachability.freshPeers().mapNotNull(::told)).maxByOrNull { it.epoch }
                ?: return null
        return best.takeIf { it.node != ctx.settings.node && isInOffice(it) }
    }

    /**
     * A record read long ago is believed only by a node that hears nobody: where peers are heard, one of them would
     * know. A leader that lost the store goes on answering for the outage grace, so that long its record may still
     * hold.
     */
    private fun freshStored(): LeadershipClaim? = stored?.takeIf {
        ctx.now - it.at <
            if (reachability.livePeers().isEmpty()) ctx.outageGraceS else leaseS + ReachabilityMatrix.FRESH_S
    }

    private fun told(peer: PeerStatus): LeadershipClaim? {
        val word = peer.links?.leader ?: return null
        val at = reachability.provenAt(peer.node) - word.ageMs / 1000.0
        return LeadershipClaim(word.node, word.epoch, at).takeIf {
            ctx.now - at <
                leaseS + ReachabilityMatrix.FRESH_S * 2
        }
    }

    private fun isInOffice(claim: LeadershipClaim): Boolean {
        if (claim.epoch < epochSeen) return false
        val word = reachability.statusOf(claim.node) ?: return true
        // Exact, however late the word comes: an epoch that was resigned is over, and whoever knows of it without
        // leading does not lead.
        return word.resignedEpoch < claim.epoch && (word.leading || word.epochSeen < claim.epoch)
    }
}
