package plankwall.core.connectivity

import plankwall.wire.LeaderSighting

/** Evidence that [node] led in [epoch] at the moment [at] (seconds of this node's steady clock) or later. */
data class LeadershipClaim(val node: String, val epoch: Long, val at: Double) {
    /** The claim as it is sent to peers: with its age, since each node has a clock of its own. */
    fun toSighting(now: Double) = LeaderSighting(node, epoch, ((now - at) * 1000).toInt().coerceAtLeast(0))
}
