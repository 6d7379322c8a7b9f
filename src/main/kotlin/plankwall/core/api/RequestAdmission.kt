package plankwall.core.api

import org.slf4j.LoggerFactory
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.statemachine.Caller
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.RequestId
import plankwall.core.statemachine.TokenBucket

/**
 * Admission control for users' requests: bounds the number in flight, and limits the rate of state service calls made
 * for them to this node's share of the rate that all nodes have for users' requests.
 */
internal class RequestAdmission(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val finalStages: FinalStages,
) {
    private val log = LoggerFactory.getLogger("api")
    private var inFlight = 0
    private var nextRateUpdateAt = 0.0

    /** The number of peers that had reported the state service as unreachable at the last update of the rate. */
    private var nodesWithoutStore = 0

    /** The rate limit of the state service calls that this node makes for users' requests. */
    private val storeCalls = TokenBucket(ctx.time, ratePerNode(ctx.settings.nodes))

    /**
     * Returns the state service calls per second for each of [nodeCount] nodes that serve users. That is more than an
     * equal share of the common rate, since users are not spread evenly over the nodes.
     */
    private fun ratePerNode(nodeCount: Int): Double =
        ctx.settings.state.rps * SHARE_OF_STORE_RATE / nodeCount * UNEVEN_LOAD_FACTOR

    /**
     * Opens a request that is in flight until it is answered, without admission control: for requests that this node
     * can answer from its caches. [timeoutS]: seconds until the deadline.
     */
    fun open(request: RequestId, caller: Caller?, timeoutS: Double = PendingRequest.CHANGE_TIMEOUT_S): PendingRequest {
        inFlight++
        return PendingRequest(
            ctx,
            request,
            caller,
            timeoutS,
            finalStages,
            reachability::isStoreReachableOnlyByPeers,
        ) { inFlight-- }
    }

    /**
     * Opens a request that needs [calls] calls of the state service. Returns null if too many requests are in flight,
     * the rate limit is reached or this node can't reach the state service; the request has then been rejected.
     */
    fun admit(
        request: RequestId,
        calls: Int,
        caller: Caller?,
        timeoutS: Double = PendingRequest.CHANGE_TIMEOUT_S,
    ): PendingRequest? {
        val pending = open(request, caller, timeoutS)
        if (inFlight > MAX_IN_FLIGHT || !storeCalls.tryTake(calls)) {
            log.info("request rejected in_flight={} store_calls={}", inFlight - 1, storeCalls.available().toInt())
            pending.rejectRateLimited()
            return null
        }
        if (!reachability.storeReachable) {
            pending.rejectTemporarily("the state service can't be reached")
            return null
        }
        return pending
    }

    /** Takes [calls] further calls of the state service for an admitted request; returns false at the rate limit. */
    fun tryTakeCalls(calls: Int): Boolean = storeCalls.tryTake(calls)

    /** Takes [calls] like [tryTakeCalls], but grants more than the burst allows while the burst is unused. */
    fun tryTakeOrBorrowCalls(calls: Int): Boolean = storeCalls.tryTakeOrBorrow(calls)

    /**
     * Adapts this node's rate to the number of nodes that reach the state service: if only one does, all users come to
     * it. To be called on each tick.
     */
    fun tick() {
        if (ctx.now < nextRateUpdateAt) return
        nextRateUpdateAt = ctx.now + RATE_UPDATE_INTERVAL_S
        // A silent peer may still be serving users; only a peer that reports the state service as unreachable loses its
        // share.
        val peersWithoutStore = reachability.provenFreshPeers().count { !it.isStoreReachable }
        if (peersWithoutStore == nodesWithoutStore) return
        nodesWithoutStore = peersWithoutStore
        storeCalls.setRate(ratePerNode((ctx.settings.nodes - peersWithoutStore).coerceAtLeast(1)))
    }

    private companion object {
        const val MAX_IN_FLIGHT = 200

        /** The share of the state service's request rate that all nodes have for users' requests. */
        const val SHARE_OF_STORE_RATE = 0.3

        /** The number of equal shares of the common rate that each node gets. */
        const val UNEVEN_LOAD_FACTOR = 2.0
        const val RATE_UPDATE_INTERVAL_S = 1.0
    }
}
