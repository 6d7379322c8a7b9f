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
 * Handles workers' heartbeats on a node that does not lead. It redirects the workers to the leader, or relays their
 * heartbeats and the leader's answers. The heartbeats are relayed for workers that the leader's session plan assigns to
 * a node, that can't reach the leader, or that wait until the leader is known to be reachable from their zone.
 */
class WorkerRelay(
    private val ctx: Context,
    private val reachability: ReachabilityMatrix,
    private val routing: LeaderRouting,
) {
    private val workers = SeenWorkers(ctx)
    private val forwarder = HeartbeatForwarder(ctx, reachability, routing, workers)
    private val zoneReach = LeaderZoneReach(reachability)
    private val trialRedirects = TrialRedirects()
    private val workerTimes = ctx.settings.workers

    /** The number of workers that sent a heartbeat here within the longest heartbeat interval, however answered. */
    val recentWorkerCount: Int get() = workers.recentWorkerCount

    /** The number of workers that no node serves and that this node could serve ([SeenWorkers.unservedCount]). */
    val unservedWorkerCount: Int get() = workers.unservedCount

    /** Records that the worker on [machine] answered a direct command of this node. */
    fun onCommandAnswered(machine: String) = workers.onCommandAnswered(machine)

    /** Answers a heartbeat, either at once or, if it is relayed, when the leader's answer arrives. */
    fun onHeartbeat(input: Input.Heartbeat) {
        val worker = workers.onHeartbeat(input.heartbeat)
        val leader = routing.leader()
        if (leader == null) {
            ctx.out.rejectHeartbeat(input.request, "no leader is known")
            return
        }
        val assignedNode = findAssignedNode(leader, input.heartbeat)
        if (assignedNode != null) {
            serveAssigned(input, worker, leader, assignedNode)
        } else {
            serveUnassigned(input, worker, leader)
        }
    }

    /** Returns the node that the leader's session plan assigns the worker to; null if no plan covers its zone. */
    private fun findAssignedNode(leader: LeadershipClaim, heartbeat: HeartbeatStatus): String? =
        reachability.sessionPlanOf(leader)?.let { SessionAssignment.nodeFor(it, heartbeat.machine, heartbeat.zone) }

    /**
     * Handles a heartbeat of a worker that the leader's plan assigns to a node. The heartbeat is relayed even if the
     * worker is assigned to another node: the leader's answer then redirects the worker if needed. This node redirects
     * the worker according to the plan only if the heartbeat can't be relayed.
     */
    private fun serveAssigned(
        input: Input.Heartbeat,
        worker: SeenWorker,
        leader: LeadershipClaim,
        assignedNode: String,
    ) {
        if (forwarder.relayHeartbeat(input, leader)) return
        if (assignedNode != ctx.settings.node && !hasFailedToReach(worker, leader, assignedNode)) {
            redirect(input.request, worker, leader, assignedNode)
        } else {
            rejectOrRedirectAgain(input.request, worker, leader)
        }
    }

    /** Handles a heartbeat of a worker that is to connect to the leader. */
    private fun serveUnassigned(input: Input.Heartbeat, worker: SeenWorker, leader: LeadershipClaim) {
        val zone = input.heartbeat.zone
        if (hasFailedToReach(worker, leader, leader.node) || zoneReach.isMostlyCutOff(leader, zone)) {
            if (forwarder.relayHeartbeat(input, leader)) {
                worker.markAsRelayed(leader)
            } else {
                rejectOrRedirectAgain(input.request, worker, leader)
            }
            return
        }
        // The first workers of each zone are redirected on trial. The others are relayed here until the leader has had
        // a direct heartbeat from one worker of the zone.
        val waitsForTrials = zoneReach.hasNoDirectWorker(leader, zone) && !trialRedirects.trySend(leader.epoch, zone)
        if (waitsForTrials && forwarder.relayHeartbeat(input, leader)) return
        redirect(input.request, worker, leader)
    }

    /**
     * Whether the worker can't reach [node]: it was redirected there in this leader's epoch and is back within a lease,
     * or its heartbeats have been relayed since.
     */
    private fun hasFailedToReach(worker: SeenWorker, leader: LeadershipClaim, node: String): Boolean =
        worker.wasRedirectedTo(node, leader.epoch) &&
            (worker.isRelayed || ctx.now - worker.redirectedAt < workerTimes.leaseS)

    /**
     * Answers a worker whose heartbeat can't be relayed, usually since this node does not reach the leader either. The
     * request is rejected, so that the worker tries another node, which may reach the leader. After a while the worker
     * is redirected to the leader again: when a partition between zones heals, the worker's own path may be open before
     * the path between the nodes is known to be.
     */
    private fun rejectOrRedirectAgain(request: RequestId, worker: SeenWorker, leader: LeadershipClaim) {
        val wasRedirectedRecently =
            worker.redirectedEpoch == leader.epoch &&
                ctx.now - worker.redirectedAt < workerTimes.longestHeartbeatIntervalS
        if (wasRedirectedRecently) {
            ctx.out.rejectHeartbeat(request, "the leader can't be reached from here")
        } else {
            redirect(request, worker, leader)
        }
    }

    private fun redirect(request: RequestId, worker: SeenWorker, leader: LeadershipClaim, node: String = leader.node) {
        worker.recordRedirect(node, leader.epoch, ctx.now)
        ctx.out.answer(request, 421, WorkerCodec.reportTo(node))
    }

    /** Passes on the leader's answer to a relayed heartbeat. */
    fun onAnswer(answer: RelayedAnswer) = forwarder.onAnswer(answer)

    /** Passes on the leader's answers to heartbeats that were relayed in a batch. */
    fun onAnswer(batch: AnswerBatch) = forwarder.onAnswer(batch)

    /** Sends batches, times out relayed heartbeats and probes unserved workers. Called regularly. */
    fun tick() {
        forwarder.tick()
        workers.tick()
    }

    /**
     * Rejects the heartbeats that wait for another leader's answer and drops all workers, since this node was elected
     * and answers the workers itself.
     */
    fun onLeadershipGained() {
        forwarder.rejectAll("this node was elected as the leader")
        workers.clear()
    }
}
