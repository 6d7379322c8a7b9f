package plankwall.core.connectivity

import plankwall.core.statemachine.Context
import plankwall.wire.PeerStatus

/**
 * Who leads, by the freshest evidence: the leader's key in the store, a status frame of the leader's own, or what a
 * peer knows by one of the two. The highest epoch counts. A node that knows of a higher epoch than any claim names no
 * leader; so the epochs that a worker is redirected to only rise, and it can't go in circles.
 */
class LeaderRouting(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val leaseS: Double,
) {
    private var stored: LeadershipClaim? = null

    /** The highest epoch known of, from whatever source. */
    var epochSeen = 0L
        private set

    /** Takes note that [epoch] exists. */
    fun onEpoch(epoch: Long) {
        epochSeen = maxOf(epochSeen, epoch)
    }

    /** A read of the leader's key that began at [askedAt] found [node] and [epoch]; null: the key is not held. */
    fun onLeaderKeyRead(node: String?, epoch: Long, askedAt: Double) {
        stored = node?.let { LeadershipClaim(it, epoch, askedAt) }
        onEpoch(epoch)
    }

    /** The claim for which this node has evidence of its own, as it may be passed on to peers. */
    fun provenLeader(): LeadershipClaim? {
        val leadingPeers = reachability.freshPeers().filter { it.leading }
        val claims =
            leadingPeers.map { LeadershipClaim(it.node, it.epochSeen, reachability.provenAt(it.node)) } +
                listOfNotNull(freshStored())
        return claims.filter { isCurrent(it) }.maxByOrNull { it.epoch }
    }

    /** The current leader, or null if it is not known or is this node. */
    fun leader(): LeadershipClaim? {
        val claims = listOfNotNull(provenLeader()) + reachability.freshPeers().mapNotNull(::claimFrom)
        val newest = claims.maxByOrNull { it.epoch } ?: return null
        return newest.takeIf { it.node != ctx.settings.node && isCurrent(it) }
    }

    /**
     * The claim by the leader's key. A read from long ago counts only if no peer is connected; otherwise one of them
     * would know. A leader that lost the store goes on answering for the outage grace, so its key may be valid for as
     * long.
     */
    private fun freshStored(): LeadershipClaim? {
        val isIsolated = reachability.livePeers().isEmpty()
        val maxAgeS = if (isIsolated) ctx.outageGraceS else leaseS + ReachabilityMatrix.FRESH_S
        return stored?.takeIf { ctx.now - it.at < maxAgeS }
    }

    private fun claimFrom(peer: PeerStatus): LeadershipClaim? {
        val sighting = peer.links?.leader ?: return null
        val at = reachability.provenAt(peer.node) - sighting.ageMs / 1000.0
        val isFresh = ctx.now - at < leaseS + ReachabilityMatrix.FRESH_S * 2
        return if (isFresh) LeadershipClaim(sighting.node, sighting.epoch, at) else null
    }

    private fun isCurrent(claim: LeadershipClaim): Boolean {
        if (claim.epoch < epochSeen) return false
        val status = reachability.statusOf(claim.node) ?: return true
        // Exact, however old the status is: an epoch that was resigned is over, and a node that knows of the epoch
        // without leading does not lead in it.
        return status.resignedEpoch < claim.epoch && (status.leading || status.epochSeen < claim.epoch)
    }
}
