package plankwall.core.election

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.wire.PeerStatus

/**
 * From when on no older leader can have renewed a worker's lease. By the clock that is an outage grace after the
 * election; earlier once every peer has shown that it knows the new epoch and does not lead. Owns the set of peers that
 * have, for the current epoch of this node.
 */
internal class OlderLeaders(private val ctx: Context) {
    private val log = LoggerFactory.getLogger("leadership")
    private val confirmedPeers = HashSet<String>()
    private var confirmedSilentAt: Double? = null

    /** This node was elected: nothing is confirmed yet. */
    fun reset() {
        confirmedSilentAt = null
        confirmedPeers.clear()
    }

    /** Takes [status] while this node leads as [epoch]. */
    fun onPeerStatus(status: PeerStatus, epoch: Long) {
        if (confirmedSilentAt != null || status.epochSeen < epoch || status.leading) return
        confirmedPeers.add(status.node)
        if (ctx.settings.peers.all { it.node in confirmedPeers }) {
            confirmedSilentAt = ctx.now
            log.info("older leaders silent epoch={}", epoch)
        }
    }

    /** The moment for a leader elected at [electedAt], in seconds of the steady clock. */
    fun silentAt(electedAt: Double): Double = confirmedSilentAt ?: (electedAt + ctx.outageGraceS)
}
