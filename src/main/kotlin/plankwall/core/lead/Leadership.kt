package plankwall.core.lead

import org.slf4j.LoggerFactory
import plankwall.core.step.Context
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.LeaderRecord
import plankwall.wire.PeerCodec
import plankwall.wire.PeerStatus
import plankwall.wire.StateItem
import plankwall.wire.StateOp
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * Who leads. The leader holds the key `leader`, attached to a short lease of the state service; the revision that
 * wrote the key is the epoch. It is the token for the workers and the guard of every write, so whatever an old leader
 * still has under way fails by itself.
 */
class Leadership(private val ctx: Context, private val onWon: () -> Unit, private val onLost: () -> Unit) {
    private val log = LoggerFactory.getLogger("leadership")

    /** The highest epoch heard of from anybody. */
    var epochSeen = 0L
        private set

    /** This node's epoch while it leads, else 0. */
    var epoch = 0L
        private set
    var resignedEpoch = 0L
        private set
    var wonAt = 0.0
        private set

    /** The node that the store last named as the leader. */
    var leaderNode: String? = null
        private set

    private var lease = 0L
    private var validUntil = 0.0
    private var nextPoll = 0.0
    private var polling = false
    private var acquiring = false
    private var failures = 0
    private val confirmedPeers = HashSet<String>()
    private val peers = HashMap<String, Pair<PeerStatus, Double>>()

    /** The moment from which no older leader can have answered a worker; unknown until the peers confirm it. */
    private var othersSilentFrom: Double? = null

    private val ttlS: Double =
        if (ctx.tuning.leaderLeaseS > 0) ctx.tuning.leaderLeaseS else (ctx.settings.workers.leaseS / 6).coerceIn(1.5, 2.5)

    val leading: Boolean get() = epoch != 0L

    /** May store: the lease is surely still ours. */
    val mayWrite: Boolean get() = leading && ctx.now < validUntil

    /** May answer workers: bounded, so that a successor can tell when we have surely stopped. */
    val mayAnswer: Boolean get() = leading && ctx.now < validUntil + ctx.outageGraceS

    /** Every other node has shown that it runs this version or a later one. */
    val allCurrent: Boolean get() = ctx.settings.peers.all { (peers[it.node]?.first?.level ?: 0) >= PeerCodec.LEVEL }

    /** A node of an older version is about: it will be replaced soon, so it had better not take the lead. */
    private val olderAbout: Boolean get() = livePeers().any { it.level < PeerCodec.LEVEL }

    val stateReachable: Boolean get() = failures < 2

    /** No leader before us can have renewed a worker's lease after this moment. */
    val othersSilent: Double get() = othersSilentFrom ?: (wonAt + ctx.outageGraceS)

    fun guard(): Guard = Guard(Keys.LEADER, epoch)

    /** Peers heard within the last few seconds, this node not counted. */
    fun livePeers(): List<PeerStatus> = peers.values.filter { ctx.now - it.second < 4.0 }.map { it.first }

    fun tick() {
        if (polling || acquiring || ctx.now < nextPoll) return
        polling = true
        if (leading) renew() else poll()
    }

    private fun renew() {
        val sentAt = ctx.now
        val renewed = lease
        ctx.out.state(StateOp.Renew(renewed)) { result ->
            polling = false
            noteHealth(result)
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
        ctx.out.state(StateOp.Get(Keys.LEADER)) { result ->
            polling = false
            noteHealth(result)
            nextPoll = ctx.now + if (olderAbout) EAGER_S else 0.35 + ctx.random.nextDouble() * 0.3
            if (result is StateResult.Item) noteLeader(result.item)
        }
    }

    private fun noteLeader(item: StateItem?) {
        val record = item?.value as? LeaderRecord
        if (item == null || record == null) {
            leaderNode = null
            if (!leading && !acquiring) acquire()
            return
        }
        epochSeen = maxOf(epochSeen, item.version)
        leaderNode = record.node
        // A key of an earlier process on this node: nobody renews it, it ends by itself.
        if (record.node == ctx.settings.node && !leading) leaderNode = null
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
                    epochSeen = maxOf(epochSeen, epoch)
                    validUntil = sentAt + ttlS
                    wonAt = ctx.now
                    leaderNode = ctx.settings.node
                    othersSilentFrom = null
                    confirmedPeers.clear()
                    nextPoll = ctx.now + ttlS / 4
                    log.info("won leadership: epoch {} lease {}", epoch, lease)
                    onWon()
                } else {
                    // Lost the race, or the outcome is unknown: whatever was written must not outlive this try.
                    ctx.out.state(StateOp.Drop(granted.lease)) {}
                }
            }
        }
    }

    private fun noteHealth(result: StateResult) {
        if (result == StateResult.Refused || result == StateResult.Unknown) failures++ else failures = 0
    }

    /** A token or epoch heard from a worker, a peer or the store. A higher one than ours ends our leadership. */
    fun noteEpoch(heard: Long, from: String) {
        if (heard > epochSeen) epochSeen = heard
        if (leading && heard > epoch) yield("epoch $heard heard from $from")
    }

    fun notePeer(status: PeerStatus) {
        peers[status.node] = status to ctx.now
        noteEpoch(status.epochSeen, "peer ${status.node}")
        if (leading && othersSilentFrom == null && status.epochSeen >= epoch && !status.leading) {
            confirmedPeers.add(status.node)
            if (ctx.settings.peers.all { it.node in confirmedPeers }) {
                othersSilentFrom = ctx.now
                log.info("epoch {}: every peer follows, older leaders are silent", epoch)
            }
        }
    }

    /** Steps down. [dropLease] lets the next leader start at once. */
    fun yield(why: String, dropLease: Boolean = false) {
        if (!leading) return
        log.info("yielding epoch {}: {}", epoch, why)
        resignedEpoch = epoch
        epoch = 0
        leaderNode = null
        nextPoll = ctx.now + if (dropLease) ttlS else 0.2
        if (dropLease) ctx.out.state(StateOp.Drop(lease)) {}
        onLost()
    }

    fun status(strayWorkers: Int) = PeerStatus(
        ctx.settings.node, ctx.incarnation, epochSeen, leading, resignedEpoch, stateReachable, strayWorkers, PeerCodec.LEVEL,
    )

    private companion object {
        /** Below the older version's wait, so that the lead passes to this version the first time it changes hands. */
        const val EAGER_S = 0.12
    }
}
