package plankwall.core.relay

import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.wire.ZoneReach

/** Which zones' workers reach the leader directly, by what it has last published about that. */
internal class LeaderZoneReach(private val reachability: ReachabilityMatrix) {
    /**
     * No worker of [zone] is known to have reached this leader directly. A new leader may be out of reach of all of
     * them, while the node that led before still has them all: redirected together they would lose half their lease
     * together.
     */
    fun isUntried(leader: LeadershipClaim, zone: String): Boolean {
        val reach = reachOf(leader, zone)
        return reach == null || reach.late >= reach.known
    }

    /**
     * The leader misses direct heartbeats of many workers of [zone]. A first try there would cost a worker several
     * seconds of its lease, and it might end up anywhere; the leader redirects it once it can be reached again. Other
     * zones that are cut off say nothing about this one.
     */
    fun isMostlyCutOff(leader: LeadershipClaim, zone: String): Boolean {
        val reach = reachOf(leader, zone) ?: return false
        return reach.known > 1 && reach.late > reach.known * CUT_OFF_SHARE
    }

    private fun reachOf(leader: LeadershipClaim, zone: String): ZoneReach? = reachability.statusOf(leader.node)
        ?.takeIf { it.leading && reachability.isFresh(leader.node) }
        ?.links?.zones?.find { it.zone == zone }

    private companion object {
        /**
         * Above the quarter of a zone and more that is late after machines died, below the whole that is late behind a
         * partition before the first worker is redirected.
         */
        const val CUT_OFF_SHARE = 0.5
    }
}
