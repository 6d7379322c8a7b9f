package plankwall.core.connectivity

import plankwall.core.statemachine.Context
import plankwall.wire.PeerStatus

/**
 * Determines the leader by the freshest evidence: the leader's key in the store, a status frame from the leader itself,
 * or a peer's claim that rests on one of these two. The claim with the highest epoch counts. A node that has observed a
 * higher epoch than that of any claim reports no leader; so the epochs to which a worker is redirected only rise, and
 * the worker is not redirected in a loop.
 *
 * @param leaseS the time to live of the lease on the leader's key, in seconds
 */
class LeaderRouting(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val leaseS: Double,
) {
    private var storedClaim: LeadershipClaim? = null

    /** The highest epoch that this node has observed, from any source. */
    var epochSeen = 0L
        private set

    /** Records that [epoch] exists. */
    fun onEpoch(epoch: Long) {
        epochSeen = maxOf(epochSeen, epoch)
    }

    /**
     * Handles a read of the leader's key that began at [askedAt]. [node] holds the key with the revision [epoch]; it is
     * null if no node holds the key.
     */
    fun onLeaderKeyRead(node: String?, epoch: Long, askedAt: Double) {
        storedClaim = node?.let { LeadershipClaim(it, epoch, askedAt) }
        onEpoch(epoch)
    }

    /**
     * Returns the claim for which this node has evidence of its own, which it may pass on to peers; null if there is
     * none.
     */
    fun provenLeader(): LeadershipClaim? {
        val leadingPeers = reachability.provenFreshPeers().filter { it.leading }
        val claims =
            leadingPeers.map { LeadershipClaim(it.node, it.epochSeen, reachability.provenAt(it.node)) } +
                listOfNotNull(freshStoredClaim())
        return claims.filter { isCurrent(it) }.maxByOrNull { it.epoch }
    }

    /** Returns the current leader, or null if it is not known or is this node. */
    fun leader(): LeadershipClaim? {
        val claims = listOfNotNull(provenLeader()) + reachability.provenFreshPeers().mapNotNull(::claimFrom)
        val newest = claims.maxByOrNull { it.epoch } ?: return null
        return newest.takeIf { it.node != ctx.settings.node && isCurrent(it) }
    }

    /**
     * Returns the claim by the last read of the leader's key, if the read is recent enough. An old read counts only
     * while no peer is connected: a connected peer would know the leader. A leader that lost the store goes on
     * answering for the outage grace, so for an isolated node the read counts that long.
     */
    private fun freshStoredClaim(): LeadershipClaim? {
        val isIsolated = reachability.recentPeers().isEmpty()
        val maxAgeS = if (isIsolated) ctx.outageGraceS else leaseS + ReachabilityMatrix.FRESH_S
        return storedClaim?.takeIf { ctx.now - it.provenAt < maxAgeS }
    }

    /**
     * Returns the claim that [peer] reports about the leader, or null if it reports none or its evidence is too old.
     */
    private fun claimFrom(peer: PeerStatus): LeadershipClaim? {
        val sighting = peer.links?.leader ?: return null
        val sightedAt = reachability.provenAt(peer.node) - sighting.ageMs / 1000.0
        val isFresh = ctx.now - sightedAt < leaseS + ReachabilityMatrix.FRESH_S * 2
        return if (isFresh) LeadershipClaim(sighting.node, sighting.epoch, sightedAt) else null
    }

    /** Whether nothing that this node knows contradicts [claim]. */
    private fun isCurrent(claim: LeadershipClaim): Boolean {
        if (claim.epoch < epochSeen) return false
        val status = reachability.statusOf(claim.node) ?: return true
        // This is certain however old the status is: an epoch from which the node resigned is over, and a node that has
        // observed the epoch without leading does not lead in it.
        return status.resignedEpoch < claim.epoch && (status.leading || status.epochSeen < claim.epoch)
    }
}
