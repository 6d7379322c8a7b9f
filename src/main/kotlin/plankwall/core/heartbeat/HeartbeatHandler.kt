package plankwall.core.heartbeat

import org.slf4j.LoggerFactory
import plankwall.core.election.Leadership
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.state.SchedulerState
import plankwall.core.state.StopCause
import plankwall.core.statemachine.Context
import plankwall.model.Shape
import plankwall.wire.HeartbeatStatus
import plankwall.wire.Order

/**
 * Handles workers' heartbeats on the leader: checks the session, reconciles the reported tasks with the scheduler's
 * state, releases placements whose tasks are proven gone, and answers with orders.
 */
class HeartbeatHandler(
    private val ctx: Context,
    private val leadership: Leadership,
    private val schedulerState: SchedulerState,
    private val fleet: Fleet,
) {
    private val log = LoggerFactory.getLogger("heartbeat")
    private val reconciler = TaskReconciler(ctx, schedulerState, FaultAttribution(ctx, schedulerState, fleet))
    private val orderPlanner = OrderPlanner(ctx)
    private val leaseExpiry = LeaseExpiry(ctx, leadership, schedulerState, fleet)

    /**
     * Applies [heartbeat] to the leader's state and returns the orders for its answer. Returns null, and changes
     * nothing, if the worker's session or sequence number shows that a newer heartbeat has been handled already.
     */
    fun onHeartbeat(heartbeat: HeartbeatStatus): List<Order>? {
        val machine = fleet.machine(heartbeat.machine)
        if (!isNewerThan(heartbeat, machine.session, machine.heartbeatSeq)) return null
        // The worker's answer to a direct command was made after this heartbeat but arrived first. What the heartbeat
        // shows may thus be out of date, but the absence of a task proves as much as in any other heartbeat.
        val isOvertaken = heartbeat.session == machine.session && heartbeat.seq < machine.statusSeq
        updateSession(machine, heartbeat)
        register(machine)
        machine.hasSeenToken = heartbeat.token >= leadership.epoch
        if (machine.hasSeenToken) machine.isNotReceivingAnswers = false
        handleTerminationNotice(machine, heartbeat.noticeS)
        val reconciliationOrders = reconciler.reconcile(machine, heartbeat.tasks, isOvertaken)
        val placementOrders = orderPlanner.ordersForAnswer(machine, heartbeat.tasks)
        return (reconciliationOrders + placementOrders).take(MAX_ORDERS_PER_MESSAGE)
    }

    /**
     * Applies the [heartbeat] in a worker's answer to a direct command. The tasks that it shows exist, but the absence
     * of others proves nothing. A session that no heartbeat has shown yet is left to the next heartbeat.
     */
    fun onCommandReply(heartbeat: HeartbeatStatus) {
        val machine = fleet.find(heartbeat.machine) ?: return
        if (!isNewerThan(heartbeat, machine.session, machine.statusSeq)) return
        if (machine.group == null) fleet.describe(machine, heartbeat)
        if (heartbeat.session > machine.session) return
        machine.statusSeq = heartbeat.seq
        reconciler.applyShownTasks(machine, heartbeat.tasks)
    }

    /**
     * Returns the orders to send to [machine] in a direct command, or null if it needs none now. An empty list stands
     * for a command that only makes the worker send a heartbeat at once.
     */
    fun urgentOrders(machine: Machine): List<Order>? = orderPlanner.urgentOrders(machine)

    /**
     * Releases the tasks of workers whose lease has surely expired, and of workers that missed a heartbeat those whose
     * start was never sent. Called on each tick of a leader that may write.
     */
    fun releaseExpired() = leaseExpiry.releaseExpired()

    /** Whether [heartbeat] was made after the status number [seq] of [session]. */
    private fun isNewerThan(heartbeat: HeartbeatStatus, session: Long, seq: Long): Boolean =
        heartbeat.session > session || (heartbeat.session == session && heartbeat.seq > seq)

    /** Records the session, sequence number and arrival of [heartbeat]. */
    private fun updateSession(machine: Machine, heartbeat: HeartbeatStatus) {
        val isNewSession = heartbeat.session > machine.session
        if (isNewSession && machine.session >= 1 && ctx.now - machine.lastAnsweredAt < ctx.settings.workers.leaseS) {
            blockPlacements(machine, heartbeat)
        }
        machine.awaitingHeartbeat = false
        fleet.describe(machine, heartbeat)
        machine.statusSeq = if (isNewSession) heartbeat.seq else maxOf(machine.statusSeq, heartbeat.seq)
        machine.session = heartbeat.session
        machine.heartbeatSeq = heartbeat.seq
        machine.previousHeartbeatAt = machine.lastHeartbeatAt
        machine.lastHeartbeatAt = ctx.now
        machine.lastAnsweredAt = ctx.now
    }

    /**
     * Blocks placements on [machine], whose worker began a new session, and so lost its lease, although its heartbeats
     * were answered: the answers do not reach it, and tasks placed there would not start.
     *
     * A worker that has shown this leader's token received an answer once, but perhaps none since, and is blocked until
     * a lease has surely expired. Any other worker is blocked only until it shows the token, which proves that it
     * receives answers: its first heartbeat here may have been an old one that the network held back until this node
     * led, which is no fault of the machine.
     */
    private fun blockPlacements(machine: Machine, heartbeat: HeartbeatStatus) {
        if (heartbeat.token >= leadership.epoch) {
            machine.blockedUntil = ctx.now + ctx.leaseExpiryBoundS
        } else {
            machine.isNotReceivingAnswers = true
        }
        log.info(
            "lease lost although heartbeats were answered machine={} blocked_until={}",
            machine.id,
            if (machine.isNotReceivingAnswers) "token-shown" else "lease-expiry",
        )
    }

    private fun register(machine: Machine) {
        if (machine.isRegistered) return
        machine.registeredAt = ctx.now
        log.info("machine registered machine={} group={}", machine.id, machine.group)
    }

    /**
     * Handles a spot machine's first termination notice: stops tasks that would not end in time, with a checkpoint if
     * they write any, so that they can start elsewhere. [noticeS]: seconds until the machine is preempted, or null
     * without a notice.
     */
    private fun handleTerminationNotice(machine: Machine, noticeS: Double?) {
        if (noticeS == null || machine.terminationNoticeAt != Machine.NEVER) return
        machine.terminationNoticeAt = ctx.now + noticeS
        log.info("termination notice machine={} remaining_s={}", machine.id, noticeS)
        for (placement in machine.placements.values.toList()) {
            val spec = placement.job.spec
            val hasKnownEnd = placement.runningSince > 0 && spec.shape != Shape.SERVICE
            val remainingS =
                if (hasKnownEnd) spec.estimateS - (ctx.now - placement.runningSince) else Double.MAX_VALUE
            if (remainingS > noticeS * USABLE_NOTICE_SHARE) {
                schedulerState.stopWithCheckpoint(placement, StopCause.DRAINED)
            }
        }
    }

    private companion object {
        /** A task is left running only if it should end within this share of the time up to the preemption. */
        const val USABLE_NOTICE_SHARE = 0.5
    }
}
