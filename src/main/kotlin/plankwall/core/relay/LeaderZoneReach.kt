package plankwall.core.relay

import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.wire.ZoneReach

/** Determines which zones' workers reach the leader directly, according to the newest status that it has published. */
internal class LeaderZoneReach(private val reachability: ReachabilityMatrix) {
    /**
     * Whether no worker of [zone] is known to have reached [leader] directly. All workers of a zone may be unable to
     * reach a new leader, while they still reach the node that led before. If all of them were redirected at once, all
     * would lose half of their lease.
     */
    fun hasNoDirectWorker(leader: LeadershipClaim, zone: String): Boolean {
        val reach = findReach(leader, zone)
        return reach == null || reach.late >= reach.known
    }

    /**
     * Whether more than half of the workers of [zone] are late with direct heartbeats to [leader]. A failed attempt to
     * connect to the leader would cost a worker several seconds of its lease, and it might connect to any other node
     * next. The leader calls the worker back once it can be reached again. Each zone is judged alone, since another
     * zone that is cut off says nothing about this one.
     */
    fun isMostlyCutOff(leader: LeadershipClaim, zone: String): Boolean {
        val reach = findReach(leader, zone) ?: return false
        return reach.known > 1 && reach.late > reach.known * CUT_OFF_SHARE
    }

    /** Returns the leader's newest counts for [zone]; null if its status is old or does not name the zone. */
    private fun findReach(leader: LeadershipClaim, zone: String): ZoneReach? = reachability.statusOf(leader.node)
        ?.takeIf { it.leading && reachability.isFresh(leader.node) }
        ?.links?.zones?.find { it.zone == zone }

    private companion object {
        /**
         * The share of late workers above which a zone counts as cut off. It is above the share that is late after
         * machines have failed, a quarter or somewhat more, and below the share in a partition, where the whole zone is
         * late before the first worker is redirected.
         */
        const val CUT_OFF_SHARE = 0.5
    }
}
