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
 * The leader election. The leader holds the key `leader`, attached to a short lease of the state service; the revision
 * that wrote the key is the epoch. It is the fencing token for the workers and the guard of every write, so whatever an
 * old leader still has under way fails by itself.
 *
 * Owns this node's epoch and lease. While it leads it renews the lease; otherwise it polls the key and, once the key is
 * free and its turn has come, is a candidate for it.
 */
class Leadership(
    private val ctx: Context,
    private val onElected: () -> Unit,
    private val onResigned: () -> Unit,
    recentWorkers: () -> Int = { 0 },
) {
    private val log = LoggerFactory.getLogger("leadership")

    private val ttlS: Double = if (ctx.tuning.leaderLeaseS > 0) {
        ctx.tuning.leaderLeaseS
    } else {
        (ctx.settings.workers.leaseS / 6).coerceIn(MIN_LEASE_S, MAX_LEASE_S)
    }

    /** What this node and its peers know of the links between nodes. */
    val reachability = ReachabilityMatrix(ctx)

    /** Who leads, as far as this node knows. */
    val routing = LeaderRouting(ctx, reachability, ttlS)

    /** When this node may be a candidate. */
    val candidatePriority = CandidatePriority(ctx, reachability, recentWorkers)

    /** The cancelled jobs that this node knows. */
    val cancellations = Cancellations(ctx, reachability)

    private val key = LeaderKey(ctx, ttlS)
    private val olderLeaders = OlderLeaders(ctx)
    private val withheldAnswers = WithheldAnswers(ctx, cancellations)

    /** The highest epoch that any worker, peer or read of the store has shown. */
    val epochSeen: Long get() = routing.epochSeen

    /** This node's epoch while it leads, else 0. */
    var epoch = 0L
        private set

    /** The epoch that this node last resigned, or 0. */
    var resignedEpoch = 0L
        private set

    /** When this node was last elected, in seconds of the steady clock. */
    var wonAt = 0.0
        private set

    private var lease = 0L
    private var leaseExpiresAt = 0.0
    private var nextPollAt = 0.0
    private var isPolling = false
    private var isCandidate = false

    /** Whom this node proposes as the next leader: in every status until there is one. */
    private var successor: String? = null

    /** This node leads. Its lease may have run out meanwhile: see [mayWrite] and [mayAnswer]. */
    val leading: Boolean get() = epoch != 0L

    /** Whether this node may store: the lease surely has not expired. */
    val mayWrite: Boolean get() = leading && ctx.now < leaseExpiresAt

    /**
     * Whether this node may answer workers: bounded in time, so that a successor can tell when this node has surely
     * stopped, and so that no task outlives a cancellation that is unknown here.
     */
    val mayAnswer: Boolean get() = leading && ctx.now < leaseExpiresAt + ctx.outageGraceS && cancellations.isAware

    /** Every other node has shown that it runs this version or a later one. */
    val allNodesCurrent: Boolean get() = ctx.settings.peers.all {
        (reachability.statusOf(it.node)?.level ?: 0) >= PeerCodec.LEVEL
    }

    /** A node of an older version runs: it will be replaced soon, so it should not be elected. */
    private val isOlderNodeLive: Boolean get() = reachability.livePeers().any { it.level < PeerCodec.LEVEL }

    /** No leader before this one can have renewed a worker's lease after this moment. */
    val olderLeadersSilentAt: Double get() = olderLeaders.silentAt(wonAt)

    /** The guard of every write: the leader's key is still as this node wrote it. */
    fun guard(): Guard = Guard(Keys.LEADER, epoch)

    /** Renews the lease or polls the key, whichever is due. */
    fun tick() {
        cancellations.tick()
        withheldAnswers.logChange(epoch)
        if (isPolling || isCandidate || ctx.now < nextPollAt) return
        isPolling = true
        reachability.storeAsked()
        if (leading) renewLease() else pollKey()
    }

    private fun renewLease() {
        val sentAt = ctx.now
        val renewed = lease
        key.renew(renewed) { result ->
            isPolling = false
            reachability.storeAnswered(result)
            if (!leading || lease != renewed) return@renew
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
        key.read { result ->
            isPolling = false
            reachability.storeAnswered(result)
            nextPollAt =
                ctx.now + if (isOlderNodeLive) EAGER_POLL_S else POLL_S + ctx.random.nextDouble() * POLL_JITTER_S
            if (result is StateResult.Item) onLeaderRecord(result.item, askedAt)
        }
    }

    private fun onLeaderRecord(item: StateItem?, askedAt: Double) {
        val record = item?.value as? LeaderRecord
        routing.onLeaderKeyRead(record?.node, item?.version ?: 0L, askedAt)
        if (item != null && record != null) {
            candidatePriority.onLeaderSeen()
            successor = null
        } else if (!leading && !isCandidate && candidatePriority.mayAcquire()) {
            standForElection()
        }
    }

    private fun standForElection() {
        isCandidate = true
        val sentAt = ctx.now
        key.acquire { acquisition ->
            isCandidate = false
            when (acquisition) {
                is Acquisition.Won -> lead(acquisition, sentAt)
                // Another node has won, and workers already ask for it here: who it is should be known at once.
                Acquisition.Lost -> nextPollAt = minOf(nextPollAt, ctx.now)
                Acquisition.NoLease -> Unit
            }
        }
    }

    private fun lead(won: Acquisition.Won, leaseFrom: Double) {
        lease = won.lease
        epoch = won.epoch
        routing.onEpoch(epoch)
        successor = null
        leaseExpiresAt = leaseFrom + ttlS
        wonAt = ctx.now
        olderLeaders.reset()
        nextPollAt = ctx.now + ttlS / RENEWALS_PER_LEASE
        log.info("leader elected epoch={} lease={}", epoch, lease)
        onElected()
    }

    /** A fencing token or epoch shown by [source]: a higher one than this node's ends its leadership. */
    fun onEpoch(shown: Long, source: String) {
        routing.onEpoch(shown)
        if (leading && shown > epoch) resign("epoch $shown shown by $source")
    }

    /** Epochs prove the same however late they arrive; what else [status] says counts only while it is the newest. */
    fun onPeerStatus(status: PeerStatus) {
        onEpoch(status.epochSeen, "peer ${status.node}")
        if (leading) olderLeaders.onPeerStatus(status, epoch)
        if (!reachability.onStatus(status)) return
        cancellations.onStatus(status)
        // The proposed successor asks for the key at once, instead of at its next poll.
        if (candidatePriority.onStatus(status) && !leading) nextPollAt = minOf(nextPollAt, ctx.now)
    }

    /** Steps down. [dropLease] lets the next leader start at once. */
    fun resign(reason: String, dropLease: Boolean = false) {
        if (!leading) return
        log.info("leadership resigned epoch={} reason=\"{}\"", epoch, reason)
        resignedEpoch = epoch
        epoch = 0
        nextPollAt = ctx.now + if (dropLease) ttlS else RESIGNED_POLL_S
        if (dropLease) key.drop(lease)
        onResigned()
    }

    /** Steps down since workers can't reach this node, and proposes the peer that most of them reach. */
    fun resignForWorkers(reason: String) {
        successor = candidatePriority.preferredSuccessor()?.node
        candidatePriority.onWorkersLost()
        resign("$reason; proposed successor: ${successor ?: "any"}", dropLease = true)
        // Sent before the key is found free, or the first to poll would take it.
        ctx.out.add(Effect.PeerSend(status(0, reachabilityReport(0))))
    }

    /** What this node reports to its peers about its links, machines aside. */
    fun reachabilityReport(recentWorkers: Int): ReachabilityReport {
        val leader = if (leading) LeadershipClaim(ctx.settings.node, epoch, ctx.now) else routing.provenLeader()
        return reachability.report(recentWorkers, leader, successor)
    }

    /** This node's status for its peers, to be sent with the [links] that [reachabilityReport] made. */
    fun status(unservedWorkers: Int, links: ReachabilityReport, sessions: SessionPlan? = null) = PeerStatus(
        ctx.settings.node, ctx.incarnation, epochSeen, leading, resignedEpoch, reachability.storeReachable,
        unservedWorkers,
        PeerCodec.LEVEL, links,
        cancellations.nextUpdate(links.seq), SessionUpdate(ctx.settings.sessionCapacity, sessions),
    )

    private companion object {
        const val MIN_LEASE_S = 1.5
        const val MAX_LEASE_S = 2.5
        const val POLL_S = 0.35
        const val POLL_JITTER_S = 0.3

        /** Below the older version's poll, so that this version is elected at the first change of leaders. */
        const val EAGER_POLL_S = 0.12
        const val RENEWALS_PER_LEASE = 4
        const val RENEWAL_RETRY_S = 0.3
        const val RESIGNED_POLL_S = 0.2
    }
}
