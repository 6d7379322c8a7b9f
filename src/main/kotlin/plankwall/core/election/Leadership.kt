package plankwall.core.election

import org.slf4j.LoggerFactory
import plankwall.core.cancellations.Cancellations
import plankwall.core.connectivity.CandidatePriority
import plankwall.core.connectivity.LeaderRouting
import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
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
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * Who leads. The leader holds the key `leader`, attached to a short lease of the state service; the revision that
 * wrote the key is the epoch. It is the token for the workers and the guard of every write, so whatever an old leader
 * still has under way fails by itself.
 */
class Leadership(
    private val ctx: Context,
    private val onWon: () -> Unit,
    private val onLost: () -> Unit,
    recentWorkers: () -> Int = { 0 },
) {
    private val log = LoggerFactory.getLogger("leadership")

    private val ttlS: Double =
        if (ctx.tuning.leaderLeaseS >
            0
        ) {
            ctx.tuning.leaderLeaseS
        } else {
            (ctx.settings.workers.leaseS / 6).coerceIn(1.5, 2.5)
        }

    val reachability = ReachabilityMatrix(ctx)
    val routing = LeaderRouting(ctx, reachability, ttlS)
    val succession = CandidatePriority(ctx, reachability, recentWorkers)
    val cancellations = Cancellations(ctx, reachability)

    /** The highest epoch heard of from anybody. */
    val epochSeen: Long get() = routing.epochSeen

    /** This node's epoch while it leads, else 0. */
    var epoch = 0L
        private set
    var resignedEpoch = 0L
        private set
    var wonAt = 0.0
        private set

    private var lease = 0L
    private var validUntil = 0.0
    private var nextPoll = 0.0
    private var polling = false
    private var acquiring = false
    private val confirmedPeers = HashSet<String>()

    /** Whom this node would have lead; told to all until somebody does. */
    private var successor: String? = null

    /** The moment from which no older leader can have answered a worker; unknown until the peers confirm it. */
    private var othersSilentFrom: Double? = null

    val leading: Boolean get() = epoch != 0L

    /** May store: the lease is surely still ours. */
    val mayWrite: Boolean get() = leading && ctx.now < validUntil

    /**
     * May answer workers: bounded, so that a successor can tell when we have surely stopped, and so that no task
     * outlives a withdrawal that we don't know of.
     */
    val mayAnswer: Boolean get() = leading && ctx.now < validUntil + ctx.outageGraceS && cancellations.isAware

    /** Refused to answer for the sake of withdrawals, as far as the log says. */
    private var unaware = false

    /** Every other node has shown that it runs this version or a later one. */
    val allCurrent: Boolean get() = ctx.settings.peers.all {
        (reachability.statusOf(it.node)?.level ?: 0) >= PeerCodec.LEVEL
    }

    /** A node of an older version is about: it will be replaced soon, so it had better not take the lead. */
    private val olderAbout: Boolean get() = reachability.livePeers().any { it.level < PeerCodec.LEVEL }

    /** No leader before us can have renewed a worker's lease after this moment. */
    val othersSilent: Double get() = othersSilentFrom ?: (wonAt + ctx.outageGraceS)

    fun guard(): Guard = Guard(Keys.LEADER, epoch)

    fun tick() {
        cancellations.tick()
        tellAwareness()
        if (polling || acquiring || ctx.now < nextPoll) return
        polling = true
        reachability.storeAsked()
        if (leading) renew() else poll()
    }

    private fun tellAwareness() {
        val now = leading && !cancellations.isAware
        if (now == unaware) return
        unaware = now
        if (!now) return log.info("every withdrawal is known here again that could have run out")
        log.warn(
            "epoch {}: workers get no answer, since users may have been told of withdrawals unknown here: the store was read {} s ago, and {} do not vouch",
            epoch,
            (ctx.now - cancellations.storedUpTo).toLong(),
            cancellations.doubts(),
        )
    }

    private fun renew() {
        val sentAt = ctx.now
        val renewed = lease
        ctx.out.state(StateOp.Renew(renewed)) { result ->
            polling = false
            reachability.storeAnswered(result)
            if (!leading || lease != renewed) return@state
            nextPoll = ctx.now + if (result == StateResult.Renewed) ttlS / 4 else 0.3
            when (result) {
                StateResult.Renewed -> validUntil = maxOf(validUntil, sentAt + ttlS)
                StateResult.NoLease -> yield("the state service ended the lease")
                else -> log.debug("renewal of epoch {} not confirmed: {}", epoch, result)
            }
        }
    }

    private fun poll() {
        val askedAt = ctx.now
        ctx.out.state(StateOp.Get(Keys.LEADER)) { result ->
            polling = false
            reachability.storeAnswered(result)
            nextPoll = ctx.now + if (olderAbout) EAGER_S else 0.35 + ctx.random.nextDouble() * 0.3
            if (result is StateResult.Item) noteLeader(result.item, askedAt)
        }
    }

    private fun noteLeader(item: StateItem?, askedAt: Double) {
        val record = item?.value as? LeaderRecord
        routing.onLeaderKeyRead(record?.node, item?.version ?: 0L, askedAt)
        if (item != null && record != null) {
            succession.onLeaderSeen()
            successor = null
        } else if (!leading && !acquiring && succession.mayAcquire()) {
            acquire()
        }
    }

    private fun acquire() {
        acquiring = true
        val sentAt = ctx.now
        ctx.out.state(StateOp.Grant((ttlS * 1000).toLong())) { granted ->
            if (granted !is StateResult.Granted) {
                acquiring = false
                return@state
            }
            val write = Write.Put(Keys.LEADER, LeaderRecord(ctx.settings.node, ctx.incarnation), granted.lease)
            ctx.out.state(StateOp.Txn(listOf(Guard(Keys.LEADER, 0)), listOf(write))) { result ->
                acquiring = false
                if (result is StateResult.Committed && ctx.now < sentAt + ttlS) {
                    lease = granted.lease
                    epoch = result.revision
                    routing.onEpoch(epoch)
                    successor = null
                    validUntil = sentAt + ttlS
                    wonAt = ctx.now
                    othersSilentFrom = null
                    confirmedPeers.clear()
                    nextPoll = ctx.now + ttlS / 4
                    log.info("won leadership: epoch {} lease {}", epoch, lease)
                    onWon()
                } else {
                    // Lost the race, or the outcome is unknown: whatever was written must not outlive this try.
                    ctx.out.state(StateOp.Drop(granted.lease)) {}
                    // Somebody else has won, and the workers are at the door already: who it is had better be known at
                    // once.
                    nextPoll = minOf(nextPoll, ctx.now)
                }
            }
        }
    }

    /** A token or epoch heard from a worker, a peer or the store. A higher one than ours ends our leadership. */
    fun noteEpoch(heard: Long, from: String) {
        routing.onEpoch(heard)
        if (leading && heard > epoch) yield("epoch $heard heard from $from")
    }

    /**
     * Epochs prove the same however late the word of them comes; what else [status] says is believed only while it is
     * the newest.
     */
    fun notePeer(status: PeerStatus) {
        noteEpoch(status.epochSeen, "peer ${status.node}")
        if (leading && othersSilentFrom == null && status.epochSeen >= epoch && !status.leading) {
            confirmedPeers.add(status.node)
            if (ctx.settings.peers.all { it.node in confirmedPeers }) {
                othersSilentFrom = ctx.now
                log.info("epoch {}: every peer follows, older leaders are silent", epoch)
            }
        }
        // The one that is named asks for the lead at once, instead of when its turn comes.
        if (!reachability.onStatus(status)) return
        cancellations.onStatus(status)
        if (succession.onStatus(status) && !leading) nextPoll = minOf(nextPoll, ctx.now)
    }

    /** Steps down. [dropLease] lets the next leader start at once. */
    fun yield(why: String, dropLease: Boolean = false) {
        if (!leading) return
        log.info("yielding epoch {}: {}", epoch, why)
        resignedEpoch = epoch
        epoch = 0
        nextPoll = ctx.now + if (dropLease) ttlS else 0.2
        if (dropLease) ctx.out.state(StateOp.Drop(lease)) {}
        onLost()
    }

    /** Steps down for the sake of workers that can't come here, and names who is reached by most of them. */
    fun yieldForWorkers(why: String) {
        successor = succession.preferredSuccessor()?.node
        succession.onWorkersLost()
        yield("$why; next had better be ${successor ?: "anybody else"}", dropLease = true)
        // Told before the key is found free, or the first to look would take it.
        ctx.out.add(Effect.PeerSend(status(0, links(0))))
    }

    /** What this node tells its peers of its links, as far as it does not concern machines. */
    fun links(recentWorkers: Int): ReachabilityReport {
        val own = if (leading) LeadershipClaim(ctx.settings.node, epoch, ctx.now) else routing.provenLeader()
        return reachability.report(recentWorkers, own, successor)
    }

    fun status(unservedWorkers: Int, links: ReachabilityReport, sessions: SessionPlan? = null) = PeerStatus(
        ctx.settings.node, ctx.incarnation, epochSeen, leading, resignedEpoch, reachability.storeReachable,
        unservedWorkers,
        PeerCodec.LEVEL, links,
        cancellations.news(links.seq), SessionUpdate(ctx.settings.sessionCapacity, sessions),
    )

    private companion object {
        /** Below the older version's wait, so that the lead passes to this version the first time it changes hands. */
        const val EAGER_S = 0.12
    }
}
