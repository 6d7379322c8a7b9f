package plankwall.core.election

import org.slf4j.LoggerFactory
import plankwall.core.cancellations.Cancellations
import plankwall.core.connectivity.CandidatePriority
import plankwall.core.connectivity.LeaderRouting
import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.election.LeaderKey.Acquisition
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.LeaderRecord
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus
import plankwall.wire.ReachabilityReport
import plankwall.wire.SessionPlan
import plankwall.wire.SessionUpdate
import plankwall.wire.StateItem
import plankwall.wire.StateResult

/**
 * The leader election. The leader holds the key `leader`, which is attached to a short lease of the state service. The
 * revision that wrote the key is the epoch: it is the fencing token for the workers and the guard of every write, so
 * all writes that an old leader still has in flight fail by themselves.
 *
 * Owns this node's epoch and lease. While it leads it renews the lease; otherwise it polls the key and tries to acquire
 * it once the key is free and [CandidatePriority] lets this node go ahead.
 *
 * @param countRecentWorkers returns how many workers sent heartbeats to this node lately
 */
class Leadership(
    private val ctx: Context,
    private val onElected: () -> Unit,
    private val onResigned: () -> Unit,
    countRecentWorkers: () -> Int = { 0 },
) {
    private val log = LoggerFactory.getLogger("leadership")

    private val ttlS: Double = if (ctx.tuning.leaderLeaseS > 0) {
        ctx.tuning.leaderLeaseS
    } else {
        (ctx.settings.workers.leaseS / 6).coerceIn(MIN_LEASE_S, MAX_LEASE_S)
    }

    /** The links between the nodes, as far as this node and its peers know them. */
    val reachability = ReachabilityMatrix(ctx)

    /** The current leader, as far as this node knows it. */
    val routing = LeaderRouting(ctx, reachability, ttlS)

    /** Decides when this node may try to acquire the leader's key. */
    val candidatePriority = CandidatePriority(ctx, reachability, countRecentWorkers)

    /** The cancelled jobs known to this node. */
    val cancellations = Cancellations(ctx, reachability)

    private val leaderKey = LeaderKey(ctx, ttlS)
    private val olderLeaders = OlderLeaders(ctx)
    private val withheldAnswers = WithheldAnswers(ctx, cancellations)

    /** The highest epoch that any worker, peer or read of the store has shown. */
    val epochSeen: Long get() = routing.epochSeen

    /** This node's epoch while it leads, otherwise 0. */
    var epoch = 0L
        private set

    /** The last epoch in which this node led and from which it resigned, or 0 if there is none. */
    var resignedEpoch = 0L
        private set

    /** The time at which this node was last elected, in seconds of the monotonic clock. */
    var electedAt = 0.0
        private set

    private var leaseId = 0L
    private var leaseExpiresAt = 0.0
    private var nextPollAt = 0.0

    /** Whether a renewal of the lease or a read of the key is in flight. */
    private var isCallInFlight = false

    /** Whether an attempt of this node to acquire the key is in flight. */
    private var isAcquiring = false

    /**
     * The node that this one proposed as the next leader when it resigned. Every status repeats it until a leader is
     * seen.
     */
    private var successor: String? = null

    /** Whether this node leads. Its lease may have expired already: see [mayWrite] and [mayAnswer]. */
    val isLeader: Boolean get() = epoch != 0L

    /** Whether this node may write to the store: it leads, and its lease has certainly not expired. */
    val mayWrite: Boolean get() = isLeader && ctx.now < leaseExpiresAt

    /**
     * Whether this node may answer workers. It stops a fixed time after the lease expired, so that a successor can
     * determine when this node certainly no longer answers. It also stops while cancellations may be unknown here, so
     * that no task goes on after its job was cancelled.
     */
    val mayAnswer: Boolean get() = isLeader && ctx.now < leaseExpiresAt + ctx.outageGraceS && cancellations.isUpToDate

    /** Whether every other node has shown that it runs this version or a later one. */
    val allNodesCurrent: Boolean get() = ctx.settings.peers.all {
        (reachability.statusOf(it.node)?.level ?: 0) >= PeerCodec.LEVEL
    }

    /** Whether a live node runs an older version. It will be replaced soon, so it should not be elected. */
    private val isOlderNodeLive: Boolean get() = reachability.recentPeers().any { it.level < PeerCodec.LEVEL }

    /**
     * The moment after which no earlier leader can have renewed a worker's lease, in seconds of the monotonic clock.
     */
    val olderLeadersStoppedAt: Double get() = olderLeaders.stoppedAt(electedAt)

    /** Returns the guard that every write carries: the leader's key is unchanged since this node wrote it. */
    fun leaderKeyGuard(): Guard = Guard(Keys.LEADER, epoch)

    /** Renews the lease or polls the key if that is due; to be called on each tick. */
    fun tick() {
        cancellations.tick()
        withheldAnswers.logChange(epoch)
        if (isCallInFlight || isAcquiring || ctx.now < nextPollAt) return
        isCallInFlight = true
        reachability.onStoreCallSent()
        if (isLeader) renewLease() else pollKey()
    }

    private fun renewLease() {
        val sentAt = ctx.now
        val renewedLeaseId = leaseId
        leaderKey.renew(renewedLeaseId) { result ->
            isCallInFlight = false
            reachability.onStoreCallEnded(result)
            if (!isLeader || leaseId != renewedLeaseId) return@renew
            nextPollAt = ctx.now + if (result == StateResult.Renewed) ttlS / RENEWALS_PER_LEASE else RENEWAL_RETRY_S
            when (result) {
                StateResult.Renewed -> leaseExpiresAt = maxOf(leaseExpiresAt, sentAt + ttlS)
                StateResult.NoLease -> resign("the state service ended the lease")
                else -> log.debug("lease renewal unconfirmed epoch={} result={}", epoch, result)
            }
        }
    }

    private fun pollKey() {
        val askedAt = ctx.now
        leaderKey.read { result ->
            isCallInFlight = false
            reachability.onStoreCallEnded(result)
            nextPollAt =
                ctx.now + if (isOlderNodeLive) UPGRADE_POLL_S else POLL_S + ctx.random.nextDouble() * POLL_JITTER_S
            if (result is StateResult.Item) onLeaderRecord(result.item, askedAt)
        }
    }

    private fun onLeaderRecord(item: StateItem?, askedAt: Double) {
        val record = item?.value as? LeaderRecord
        routing.onLeaderKeyRead(record?.node, item?.version ?: 0L, askedAt)
        if (item != null && record != null) {
            candidatePriority.onLeaderSeen()
            successor = null
        } else if (!isLeader && !isAcquiring && candidatePriority.mayAcquire()) {
            acquireKey()
        }
    }

    private fun acquireKey() {
        isAcquiring = true
        val sentAt = ctx.now
        leaderKey.acquire { acquisition ->
            isAcquiring = false
            when (acquisition) {
                is Acquisition.Won -> becomeLeader(acquisition, sentAt)
                // Another node has probably won. Workers already ask this node for the leader, so the key is read again
                // at once.
                Acquisition.Lost -> nextPollAt = minOf(nextPollAt, ctx.now)
                Acquisition.NoLease -> Unit
            }
        }
    }

    private fun becomeLeader(won: Acquisition.Won, leaseStartedAt: Double) {
        leaseId = won.leaseId
        epoch = won.epoch
        routing.onEpoch(epoch)
        successor = null
        leaseExpiresAt = leaseStartedAt + ttlS
        electedAt = ctx.now
        olderLeaders.reset()
        nextPollAt = ctx.now + ttlS / RENEWALS_PER_LEASE
        log.info("leader elected epoch={} lease={}", epoch, leaseId)
        onElected()
    }

    /**
     * Records that [source] has shown [shownEpoch], an epoch or fencing token. If it is higher than the epoch of this
     * node, there is a newer leader, and this node resigns.
     */
    fun onEpoch(shownEpoch: Long, source: String) {
        routing.onEpoch(shownEpoch)
        if (isLeader && shownEpoch > epoch) resign("epoch $shownEpoch shown by $source")
    }

    /**
     * Handles [status]. The epochs that it shows are proof however late it arrives; everything else in it counts only
     * if it is the newest status of its node.
     */
    fun onPeerStatus(status: PeerStatus) {
        onEpoch(status.epochSeen, "peer ${status.node}")
        if (isLeader) olderLeaders.onPeerStatus(status, epoch)
        if (!reachability.onStatus(status)) return
        cancellations.onStatus(status)
        // This node is the proposed successor: it polls the key at once.
        if (candidatePriority.onStatus(status) && !isLeader) nextPollAt = minOf(nextPollAt, ctx.now)
    }

    /**
     * Resigns if this node leads. With [releaseKey] it also releases the key, so that the next leader can be elected at
     * once.
     */
    fun resign(reason: String, releaseKey: Boolean = false) {
        if (!isLeader) return
        log.info("leadership resigned epoch={} reason=\"{}\"", epoch, reason)
        resignedEpoch = epoch
        epoch = 0
        nextPollAt = ctx.now + if (releaseKey) ttlS else RESIGNED_POLL_DELAY_S
        if (releaseKey) leaderKey.endLease(leaseId)
        onResigned()
    }

    /** Resigns because workers can't reach this node, and proposes as successor the peer that most of them reach. */
    fun resignForWorkers(reason: String) {
        successor = candidatePriority.preferredSuccessor()?.node
        candidatePriority.onWorkersLost()
        resign("$reason; proposed successor: ${successor ?: "any"}", releaseKey = true)
        // Sent before any node can find the key free: otherwise the first node to poll the key would acquire it.
        ctx.out.add(Effect.PeerSend(createStatus(0, createReachabilityReport(0))))
    }

    /**
     * Creates the report of this node's links for its next status; each report takes a new sequence number. Its zones
     * are empty, to be filled in by the leader.
     */
    fun createReachabilityReport(recentWorkerCount: Int): ReachabilityReport {
        val leader = if (isLeader) LeadershipClaim(ctx.settings.node, epoch, ctx.now) else routing.provenLeader()
        return reachability.createReport(recentWorkerCount, leader, successor)
    }

    /** Creates this node's status for its peers, with the [links] that [createReachabilityReport] returned. */
    fun createStatus(unservedWorkerCount: Int, links: ReachabilityReport, sessions: SessionPlan? = null) = PeerStatus(
        ctx.settings.node, ctx.incarnation, epochSeen, isLeader, resignedEpoch, reachability.storeReachable,
        unservedWorkerCount,
        PeerCodec.LEVEL, links,
        cancellations.nextUpdate(links.seq), SessionUpdate(ctx.settings.sessionCapacity, sessions),
    )

    private companion object {
        const val MIN_LEASE_S = 1.5
        const val MAX_LEASE_S = 2.5

        /** The interval at which the key is polled, to which a random time of up to [POLL_JITTER_S] is added. */
        const val POLL_S = 0.35
        const val POLL_JITTER_S = 0.3

        /**
         * The poll interval while a live node runs an older version. It is below the interval of that version, so that
         * this version is elected at the first change of leaders.
         */
        const val UPGRADE_POLL_S = 0.12
        const val RENEWALS_PER_LEASE = 4
        const val RENEWAL_RETRY_S = 0.3
        const val RESIGNED_POLL_DELAY_S = 0.2
    }
}
