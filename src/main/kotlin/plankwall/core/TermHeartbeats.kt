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
 * The rules by which a leader takes heartbeats: which workers have to send them elsewhere, what is answered before the
 * state is loaded, and when a fencing token ends the term.
 */
internal class TermHeartbeats(
    private val ctx: Context,
    private val leadership: Leadership,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val heartbeats: HeartbeatHandler,
    private val reach: DirectReachability,
    private val commands: WorkerCommands,
    private val isLoaded: () -> Boolean,
) {
    /** Takes [heartbeat], which came to the node [through]. */
    fun onHeartbeat(heartbeat: HeartbeatStatus, through: String): HeartbeatOutcome {
        if (fleet.isGone(heartbeat.machine)) return HeartbeatOutcome.Outdated
        val machine = fleet.machine(heartbeat.machine)
        reach.redirectTarget(machine, heartbeat.zone, through)?.let { return HeartbeatOutcome.RedirectedTo(it) }
        if (through == ctx.settings.node) {
            reach.onDirectHeartbeat(machine)
        } else if (reach.onIndirectHeartbeat(machine, heartbeat.zone)) {
            return HeartbeatOutcome.RedirectedTo(ctx.settings.node)
        }
        val orders = if (isLoaded()) heartbeats.onHeartbeat(heartbeat) else keepLease(machine, heartbeat)
        return if (orders == null) HeartbeatOutcome.Outdated else HeartbeatOutcome.Answered(orders)
    }

    /** Until the state is loaded nothing can be decided about the tasks, but the worker's lease can be renewed. */
    private fun keepLease(machine: Machine, heartbeat: HeartbeatStatus): List<Order> {
        fleet.describe(machine, heartbeat)
        machine.lastAnswered = ctx.now
        // A job that is known as cancelled needs no state to be stopped: this lease must not keep its tasks running.
        return heartbeat.tasks
            .filter { it.stage != TaskStage.EXITED && leadership.cancellations.isKnown(it.jobId) }
            .map { Order(OrderOp.STOP, it.jobId, it.task, it.attempt, 0.0) }
    }

    /** Takes the [heartbeat] that a worker sent as its answer to a direct command. */
    fun onCommandReply(heartbeat: HeartbeatStatus) {
        if (resignIfFenced(heartbeat)) return
        if (store.active && isLoaded()) heartbeats.onRelayedHeartbeat(heartbeat)
        val machine = fleet.find(heartbeat.machine) ?: return
        reach.onCommandAnswered(machine)
        commands.onRefusedAnnouncement(machine, heartbeat)
    }

    /**
     * A worker that has seen a higher fencing token than this leader's has a newer leader: then this one resigns. Up to
     * the newest write of this leader all tokens are its own, since a later leader's key is written after it. That
     * includes machines that are forgotten already, whose last heartbeat was delayed by a partition and arrives when it
     * heals.
     */
    fun resignIfFenced(heartbeat: HeartbeatStatus): Boolean {
        if (heartbeat.token <= maxOf(commands.tokenFor(heartbeat.machine), store.lastRevision)) return false
        leadership.resign("machine ${heartbeat.machine} shows token ${heartbeat.token}")
        return true
    }
}
