package plankwall.core

import plankwall.core.election.Leadership
import plankwall.core.heartbeat.HeartbeatHandler
import plankwall.core.relay.DirectReachability
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.core.store.LeaderStore
import plankwall.wire.HeartbeatStatus
import plankwall.wire.Order
import plankwall.wire.OrderOp
import plankwall.wire.TaskStage

/**
 * Handles the heartbeats that reach the leader: redirects workers that should send theirs to another node, answers
 * before the state is loaded, and resigns when a worker shows a newer leader's fencing token.
 */
internal class TermHeartbeats(
    private val ctx: Context,
    private val leadership: Leadership,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val heartbeatHandler: HeartbeatHandler,
    private val directReachability: DirectReachability,
    private val workerCommands: WorkerCommands,
    private val isLoaded: () -> Boolean,
) {
    /** Handles [heartbeat], which the node [receivingNode] received from the worker. Returns how to respond to it. */
    fun onHeartbeat(heartbeat: HeartbeatStatus, receivingNode: String): HeartbeatOutcome {
        if (fleet.isGone(heartbeat.machine)) return HeartbeatOutcome.Outdated
        val machine = fleet.machine(heartbeat.machine)
        directReachability.redirectTarget(machine, heartbeat.zone, receivingNode)?.let {
            return HeartbeatOutcome.RedirectedTo(it)
        }
        if (receivingNode == ctx.settings.node) {
            directReachability.onDirectHeartbeat(machine)
        } else if (directReachability.onRelayedHeartbeat(machine, heartbeat.zone)) {
            return HeartbeatOutcome.RedirectedTo(ctx.settings.node)
        }
        val orders = if (isLoaded()) heartbeatHandler.onHeartbeat(heartbeat) else answerBeforeLoad(machine, heartbeat)
        return if (orders == null) HeartbeatOutcome.Outdated else HeartbeatOutcome.Answered(orders)
    }

    /**
     * Answers a heartbeat before the state is loaded. Nothing can be decided about the worker's tasks yet, but its
     * lease can be renewed.
     */
    private fun answerBeforeLoad(machine: Machine, heartbeat: HeartbeatStatus): List<Order> {
        fleet.describe(machine, heartbeat)
        machine.lastAnsweredAt = ctx.now
        // A job that is known to be cancelled can be stopped without the state: renewing the lease must not keep its
        // tasks running.
        return heartbeat.tasks
            .filter { it.stage != TaskStage.EXITED && leadership.cancellations.isKnown(it.jobId) }
            .map { Order(OrderOp.STOP, it.jobId, it.task, it.attempt, 0.0) }
    }

    /** Handles the [heartbeat] that a worker sent as its answer to a direct command. */
    fun onCommandReply(heartbeat: HeartbeatStatus) {
        if (resignIfFenced(heartbeat)) return
        if (store.isTermActive && isLoaded()) heartbeatHandler.onCommandReply(heartbeat)
        val machine = fleet.find(heartbeat.machine) ?: return
        directReachability.onCommandAnswered(machine)
        workerCommands.retryRefusedAnnouncement(machine, heartbeat)
    }

    /**
     * Resigns if [heartbeat] shows a higher fencing token than this leader can have issued: its worker has seen a newer
     * leader then. Returns whether the token is higher.
     *
     * All tokens up to the revision of this leader's newest write are its own, since a later leader writes its key
     * after that. This matters for machines that are forgotten already, whose last heartbeat was delayed by a partition
     * and arrives when the partition heals.
     */
    fun resignIfFenced(heartbeat: HeartbeatStatus): Boolean {
        if (heartbeat.token <= maxOf(workerCommands.tokenFor(heartbeat.machine), store.lastRevision)) return false
        leadership.resign("machine ${heartbeat.machine} shows token ${heartbeat.token}")
        return true
    }
}
