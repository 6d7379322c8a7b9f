package plankwall.core.election

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.wire.PeerStatus

/**
 * Determines the moment after which no older leader can have renewed a worker's lease. By the clock alone that is one
 * outage grace after the election; it comes earlier if every peer has shown that it knows the new epoch and does not
 * lead. Owns the set of peers that have shown this for the current epoch of this node.
 */
internal class OlderLeaders(private val ctx: Context) {
    private val log = LoggerFactory.getLogger("leadership")
    private val confirmedPeers = HashSet<String>()
    private var confirmedStoppedAt: Double? = null

    /** Forgets all confirmations; called when this node is elected. */
    fun reset() {
        confirmedStoppedAt = null
        confirmedPeers.clear()
    }

    /** Handles [status], which arrived while this node leads in [epoch]. */
    fun onPeerStatus(status: PeerStatus, epoch: Long) {
        if (confirmedStoppedAt != null || status.epochSeen < epoch || status.leading) return
        confirmedPeers.add(status.node)
        if (ctx.settings.peers.all { it.node in confirmedPeers }) {
            confirmedStoppedAt = ctx.now
            log.info("older leaders silent epoch={}", epoch)
        }
    }

    /** Returns that moment for a leader that was elected at [electedAt]; both are in seconds of the monotonic clock. */
    fun stoppedAt(electedAt: Double): Double = confirmedStoppedAt ?: (electedAt + ctx.outageGraceS)
}
