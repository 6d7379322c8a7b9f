package plankwall.core.relay

import plankwall.core.connectivity.LeaderRouting
import plankwall.core.connectivity.LeadershipClaim
import plankwall.core.connectivity.ReachabilityMatrix
import plankwall.core.sessions.SessionAssignment
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.wire.AnswerBatch
import plankwall.wire.HeartbeatStatus
import plankwall.wire.RelayedAnswer
import plankwall.wire.WorkerCodec

/**
 * Handles workers' heartbeats on a node that does not lead: redirects the workers to the leader, or, where they can't
 * reach it, relays their heartbeats and the leader's answers.
 */
class WorkerRelay(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val routing: LeaderRouting,
) {
    private val workers = SeenWorkers(ctx)
    private val forwarder = HeartbeatForwarder(ctx, reachability, routing, workers)
    private val zoneReach = LeaderZoneReach(reachability)
    private val scouts = ZoneScouts()
    private val times = ctx.settings.workers

    /** How many workers sent a heartbeat here within a heartbeat interval, however it was answered. */
    val recentWorkers: Int get() = workers.recentWorkers

    /** How many workers no node serves, as far as this node could serve them ([SeenWorkers.unserved]). */
    val unservedWorkers: Int get() = workers.unserved

    /** The worker on [machine] answered a direct command of this node. */
    fun onCommandAnswered(machine: String) = workers.onCommandAnswered(machine)

    /** Answers a heartbeat, now or once the leader's answer to the relayed heartbeat comes. */
    fun onHeartbeat(input: Input.Heartbeat) {
        val worker = workers.onHeartbeat(input.report)
        val leader = routing.leader()
        if (leader == null) {
            ctx.out.rejectHeartbeat(input.request, "no leader is known")
            return
        }
        val assigned = assignedNode(leader, input.report)
        if (assigned != null) {
            serveAssigned(input, worker, leader, assigned)
        } else {
            serveUnassigned(input, worker, leader)
        }
    }

    /** The node that the leader's plan assigns the worker's session to; null if it spreads none there. */
    private fun assignedNode(leader: LeadershipClaim, heartbeat: HeartbeatStatus): String? =
        reachability.sessionPlanOf(leader)?.let { SessionAssignment.nodeFor(it, heartbeat.machine, heartbeat.zone) }

    /**
     * Where sessions are spread, the leader decides from the relayed heartbeat whether the worker should go elsewhere;
     * its plan decides only if the heartbeat can't be relayed.
     */
    private fun serveAssigned(input: Input.Heartbeat, worker: SeenWorker, leader: LeadershipClaim, assigned: String) {
        if (forwarder.relay(input, leader)) return
        if (assigned != ctx.settings.node && !cameBack(worker, leader, assigned)) {
            redirect(input.request, worker, leader, assigned)
        } else {
            rejectOrRetry(input.request, worker, leader)
        }
    }

    private fun serveUnassigned(input: Input.Heartbeat, worker: SeenWorker, leader: LeadershipClaim) {
        val zone = input.report.zone
        if (cameBack(worker, leader, leader.node) || zoneReach.isMostlyCutOff(leader, zone)) {
            if (forwarder.relay(input, leader)) {
                worker.keepRelaying(leader)
            } else {
                rejectOrRetry(input.request, worker, leader)
            }
            return
        }
        // Scouts of each zone go first; the other workers are served here until one of them has arrived.
        val waitsForScouts = zoneReach.isUntried(leader, zone) && !scouts.trySend(leader.epoch, zone)
        if (waitsForScouts && forwarder.relay(input, leader)) return
        redirect(input.request, worker, leader)
    }

    /** The worker was redirected to [node] for this very leader and is here again: it can't get there. */
    private fun cameBack(worker: SeenWorker, leader: LeadershipClaim, node: String): Boolean =
        worker.wasRedirectedTo(node, leader.epoch) &&
            (worker.relayed || ctx.now - worker.redirectedAt < times.leaseS)

    /**
     * For a worker that the leader can't be reached for from here either: another node may do better. After a while it
     * is redirected to the leader again: when a partition between zones heals, its own path may be open before that of
     * the nodes is known to be.
     */
    private fun rejectOrRetry(request: RequestId, worker: SeenWorker, leader: LeadershipClaim) {
        val triedLately =
            worker.redirectedEpoch == leader.epoch && ctx.now - worker.redirectedAt < times.longestReportS
        if (triedLately) {
            ctx.out.rejectHeartbeat(request, "the leader can't be reached from here")
        } else {
            redirect(request, worker, leader)
        }
    }

    private fun redirect(request: RequestId, worker: SeenWorker, leader: LeadershipClaim, node: String = leader.node) {
        worker.noteRedirect(node, leader.epoch, ctx.now)
        ctx.out.answer(request, 421, WorkerCodec.reportTo(node))
    }

    /** The leader's answer to a relayed heartbeat. */
    fun onAnswer(answer: RelayedAnswer) = forwarder.onAnswer(answer)

    /** The leader's answers to heartbeats relayed in a batch. */
    fun onAnswer(batch: AnswerBatch) = forwarder.onAnswer(batch)

    /** Sends batches, times out relayed heartbeats and probes unserved workers; to be called regularly. */
    fun tick() {
        forwarder.tick()
        workers.tick()
    }

    /** This node leads now: what waits for another leader is answered, and the workers are its own. */
    fun onLeadershipGained() {
        forwarder.rejectAll("the lead has passed on")
        workers.clear()
    }
}
