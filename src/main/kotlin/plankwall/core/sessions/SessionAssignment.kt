package plankwall.core.sessions

import com.google.common.hash.Hashing
import plankwall.wire.SessionPlan
import plankwall.wire.SessionShare
import kotlin.math.ln

/**
 * Assigns workers' sessions to nodes by weighted rendezvous hashing. All nodes compute the same assignment from the
 * same plan. When a node joins or leaves, only the workers that are or were assigned to it are moved.
 */
object SessionAssignment {
    /** Returns the node that serves the session of [machine]; null if the leader does, as [plan] lacks its [zone]. */
    fun nodeFor(plan: SessionPlan, machine: String, zone: String): String? =
        plan.zones[zone]?.maxByOrNull { computeScore(it, machine) }?.node

    private fun computeScore(share: SessionShare, machine: String): Double {
        val hash = Hashing.murmur3_128().hashString("${share.node}|$machine", Charsets.UTF_8).asLong()
        // Uniformly distributed over the open interval (0, 1), so that the logarithm is finite and not 0.
        val uniform = ((hash ushr UNUSED_BITS) + 0.5) / (1L shl MANTISSA_BITS)
        return share.weight / -ln(uniform)
    }

    private const val MANTISSA_BITS = 53
    private const val UNUSED_BITS = 64 - MANTISSA_BITS
}
