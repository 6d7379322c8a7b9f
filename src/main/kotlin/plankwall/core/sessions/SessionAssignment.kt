package plankwall.core.sessions

import com.google.common.hash.Hashing
import plankwall.wire.SessionPlan
import plankwall.wire.SessionShare
import kotlin.math.ln

/**
 * Assigns workers' sessions to nodes by weighted rendezvous hashing. Each node computes the same from the same plan,
 * and a node that joins or leaves moves only the workers that it gets or had.
 */
object SessionAssignment {
    /** The node that serves the session of [machine]; null if [plan] has no entry for [zone]: the leader serves it. */
    fun nodeFor(plan: SessionPlan, machine: String, zone: String): String? =
        plan.zones[zone]?.maxByOrNull { score(it, machine) }?.node

    private fun score(share: SessionShare, machine: String): Double {
        val hash = Hashing.murmur3_128().hashString("${share.node}|$machine", Charsets.UTF_8).asLong()
        // Evenly spread over (0, 1), without its ends.
        val unit = ((hash ushr UNUSED_BITS) + 0.5) / (1L shl MANTISSA_BITS)
        return share.weight / -ln(unit)
    }

    private const val MANTISSA_BITS = 53
    private const val UNUSED_BITS = 64 - MANTISSA_BITS
}
