package plankwall.core.connectivity

import plankwall.wire.LeaderSighting

/** Evidence that [node] led in [epoch] at the moment [provenAt] or later, in seconds of this node's monotonic clock. */
data class LeadershipClaim(val node: String, val epoch: Long, val provenAt: Double) {
    /**
     * Returns the claim in the form that is sent to peers: with its age instead of a moment, since each node has its
     * own clock.
     */
    fun toSighting(now: Double) = LeaderSighting(node, epoch, ((now - provenAt) * 1000).toInt().coerceAtLeast(0))
}
