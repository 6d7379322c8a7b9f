package plankwall.core.relay

import org.slf4j.LoggerFactory
import plankwall.core.connectivity.LeaderRouting
import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.sessions.HeartbeatBatcher
import plankwall.core.sessions.SessionAssignment
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.wire.AnswerBatch
import plankwall.wire.BatchedAnswer
import plankwall.wire.HeartbeatStatus
import plankwall.wire.JobCodec
import plankwall.wire.PeerStatus
import plankwall.wire.RelayedAnswer
import plankwall.wire.RelayedHeartbeat
import plankwall.wire.SessionPlan
import plankwall.wire.WorkerCodec

/**
 * What a node that does not lead does with workers: sends them to the leader, or, where they can't reach it, passes
 * their reports on and its answers back. The answer is the leader's, token and all, and is handed out only to the
 * request that it belongs to and only while that waits; so to the worker and to the proofs it is an answer like any
 * other.
 */
class WorkerRelay(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val routing: LeaderRouting,
) {
    private class Waiting(
        val request: RequestId,
        val report: HeartbeatStatus,
        val address: String,
        val leader: LeadershipClaim,
        val at: Double,
    ) {
        val machine: String get() = report.machine

        /** It went in a batch, in full rather than as a mark. */
        var sentWhole = false
    }

    private val log = LoggerFactory.getLogger("relay")
    private val workers = SeenWorkers(ctx)
    private val waiting = LinkedHashMap<Long, Waiting>()
    private val batcher = HeartbeatBatcher(ctx, reachability)
    private var nextId = ctx.incarnation
    private val scouts = HashMap<String, Int>()
    private var scoutsFor = 0L
    private var relayedSince = 0
    private var nextLine = 0.0
    private val times = ctx.settings.workers
    private val mostWaiting = (ctx.settings.maxConnections / 4).coerceIn(16, 400)

    /** Workers that turned up within a report interval, whatever became of them. */
    val recentWorkers: Int get() = workers.recentWorkers

    /** Workers that nobody serves, as far as this node could answer them ([SeenWorkers.unserved]). */
    val unservedWorkers: Int get() = workers.unserved

    /** [machine] answered a direct command of this node. */
    fun onCommandAnswered(machine: String) = workers.onCommandAnswered(machine)

    fun onHeartbeat(input: Input.Heartbeat) {
        val seen = workers.note(input.report)
        val leader = routing.leader()
        val home = leader?.let { homeOf(it, input.report) }
        when {
            leader == null -> refuse(input.request, "no leader is known")
            // Where sessions are spread the leader knows whether this worker had better go elsewhere; without it, its
            // plan says.
            home != null && relay(input, leader) -> Unit
            home != null &&
                home != ctx.settings.node &&
                !cameBack(
                    seen,
                    leader,
                    home,
                ) -> sendTo(input.request, seen, leader, home)
            home != null -> turnAway(input.request, seen, leader)
            cameBack(seen, leader, leader.node) || isOutOfReach(leader, input.report.zone) ->
                if (relay(input, leader)) seen.keep(leader) else turnAway(input.request, seen, leader)
            // A scout or two of each zone go first; the others are served here until one has arrived.
            isUntried(leader, input.report.zone) && !isScout(leader, input.report.zone) && relay(input, leader) -> Unit
            else -> sendTo(input.request, seen, leader)
        }
    }

    /** The node that serves the worker's session, where the leader spreads them. */
    private fun homeOf(leader: LeadershipClaim, report: HeartbeatStatus): String? =
        planOf(leader)?.let { SessionAssignment.nodeFor(it, report.machine, report.zone) }

    private fun planOf(leader: LeadershipClaim): SessionPlan? =
        reachability.statusOf(leader.node)?.sessions?.plan?.takeIf {
            it.epoch ==
                leader.epoch
        }

    private fun SeenWorker.keep(leader: LeadershipClaim) {
        sentTo = leader.epoch
        sentToNode = leader.node
        relayed = true
    }

    /**
     * Nobody of [zone] is known to have come straight to this leader. One that has just taken over may be out of reach
     * of all of them, and whoever led before has them all at its door: sent away together they would lose half their
     * lease together.
     */
    private fun isUntried(leader: LeadershipClaim, zone: String): Boolean {
        val reach = wordOf(leader)?.links?.zones?.find { it.zone == zone }
        return reach == null || reach.late >= reach.known
    }

    private fun isScout(leader: LeadershipClaim, zone: String): Boolean {
        if (scoutsFor != leader.epoch) scouts.clear()
        scoutsFor = leader.epoch
        return scouts.merge(zone, 1, Int::plus).let { it != null && it <= SCOUTS }
    }

    private fun wordOf(leader: LeadershipClaim): PeerStatus? = reachability.statusOf(leader.node)?.takeIf {
        it.leading &&
            reachability.isFresh(leader.node)
    }

    /** Sent to this very leader within the time that a try takes, and here again: it can't get there. */
    private fun cameBack(seen: SeenWorker, leader: LeadershipClaim, node: String): Boolean =
        seen.sentTo == leader.epoch && seen.sentToNode == node && (seen.relayed || ctx.now - seen.sentAt < times.leaseS)

    /**
     * The leader misses many of [zone] that should come straight to it. Then a first try there would cost this worker
     * several seconds of its lease, and who knows where it ends up after; the leader sends it over once it can be
     * reached again. Other zones that are cut off say nothing of this one.
     */
    private fun isOutOfReach(leader: LeadershipClaim, zone: String): Boolean {
        val reach = wordOf(leader)?.links?.zones?.find { it.zone == zone } ?: return false
        return reach.known > 1 && reach.late > reach.known * BROADLY_LATE
    }

    private fun relay(input: Input.Heartbeat, leader: LeadershipClaim): Boolean {
        if (!reachability.isFresh(leader.node) ||
            !reachability.supportsRelay(leader.node) ||
            waiting.size >= mostWaiting
        ) {
            return false
        }
        val id = nextId++
        val open = Waiting(input.request, input.report, input.from, leader, ctx.now)
        waiting[id] = open
        relayedSince++
        if (planOf(leader) != null) {
            open.sentWhole = batcher.add(id, leader, input.from, input.report)
            workers[open.machine]?.passedOn = true
            return true
        }
        val message =
            RelayedHeartbeat(ctx.settings.node, id, reachability.lastSeqFrom(leader.node), input.from, input.report)
        ctx.out.add(Effect.PeerSend(message, leader.node))
        return true
    }

    /**
     * Back from a leader that can't be reached from here either: another node may do better. After a while the worker
     * is sent there again: when a cut between zones heals, its own way may be open before that of the nodes is known to
     * be.
     */
    private fun turnAway(request: RequestId, seen: SeenWorker, leader: LeadershipClaim) {
        if (seen.sentTo == leader.epoch &&
            ctx.now - seen.sentAt < times.longestReportS
        ) {
            refuse(request, "the leader can't be reached from here")
        } else {
            sendTo(request, seen, leader)
        }
    }

    private fun sendTo(request: RequestId, seen: SeenWorker, leader: LeadershipClaim, node: String = leader.node) {
        seen.sentTo = leader.epoch
        seen.sentToNode = node
        seen.sentAt = ctx.now
        seen.relayed = false
        ctx.out.answer(request, 421, WorkerCodec.reportTo(node))
    }

    private fun refuse(request: RequestId, why: String) = ctx.out.answer(request, 503, JobCodec.error(why), 1)

    fun onAnswer(answer: RelayedAnswer) {
        // What was given up is answered already; its answer must not reach the worker's next request.
        val open = waiting[answer.id]?.takeIf { it.leader.node == answer.from } ?: return
        hand(answer.id, open, answer.status, answer.body)
    }

    /** Answers to reports that went in a batch: to those of this epoch alone, whichever node says so. */
    fun onAnswer(batch: AnswerBatch) {
        for (answer in batch.answers) {
            val open =
                waiting[answer.id]?.takeIf { it.leader.node == batch.from && it.leader.epoch == batch.epoch }
                    ?: continue
            if (answer.status == BatchedAnswer.RESEND) {
                open.sentWhole = batcher.add(answer.id, open.leader, open.address, open.report, whole = true)
            } else {
                if (open.sentWhole) batcher.answered(answer.id, batch.epoch, open.report)
                hand(answer.id, open, answer.status, answer.body)
            }
        }
    }

    private fun hand(id: Long, open: Waiting, status: Int, body: ByteArray) {
        waiting.remove(id)
        val seen = workers[open.machine]
        seen?.passedOn = false
        when (status) {
            200 -> seen?.unserved = false
            421 -> seen?.let {
                it.relayed = false
                it.sentTo = open.leader.epoch
                it.sentToNode = open.leader.node
                it.sentAt = ctx.now
            }
        }
        ctx.out.answer(open.request, status, body)
    }

    private fun sendBatches() {
        val leader = routing.leader() ?: return
        batcher.due(leader.epoch) { it in waiting }.forEach { ctx.out.add(Effect.PeerSend(it, leader.node)) }
    }

    fun tick() {
        sendBatches()
        while (waiting.isNotEmpty()) {
            val (id, open) = waiting.entries.first()
            if (ctx.now - open.at < ANSWER_S) break
            waiting.remove(id)
            workers[open.machine]?.passedOn = false
            log.debug("report of {}: no answer through {} within {} s", open.machine, open.leader.node, ANSWER_S)
            refuse(open.request, "the leader did not answer")
        }
        workers.tick()
        if (relayedSince > 0 && ctx.now >= nextLine) {
            log.info(
                "{} reports passed on to {} lately, {} wait; in batches so far {} whole, {} unchanged",
                relayedSince,
                routing.leader()?.node ?: "nobody",
                waiting.size,
                batcher.wholes,
                batcher.marks,
            )
            relayedSince = 0
            nextLine = ctx.now + LINE_S
        }
    }

    /** This node leads now: what waits for another leader is answered, and the workers are its own. */
    fun onLeadershipGained() {
        waiting.values.forEach { refuse(it.request, "the lead has passed on") }
        waiting.clear()
        workers.clear()
        batcher.clear()
    }

    private companion object {
        /** Well below the 4 s that a worker waits, and far above what two frames take. */
        const val ANSWER_S = 1.5

        /**
         * Machines that died lately are late too, by a quarter of a zone and more; behind a cut all are late before the
         * first is here.
         */
        const val BROADLY_LATE = 0.5
        const val LINE_S = 5.0
        const val SCOUTS = 2
    }
}
