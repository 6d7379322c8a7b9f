package plankwall.core.heartbeat

import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.wire.HeartbeatSize
import plankwall.wire.Order
import plankwall.wire.OrderOp
import plankwall.wire.TaskStatus

/**
 * The number of orders in one message to a worker; others are left to later messages. So many of the longest take less
 * than the 64 KiB that a request or a line of an answer may have.
 */
internal const val MAX_ORDERS_PER_MESSAGE = 400

/** Derives the orders for workers from the placements on their machines. */
internal class OrderPlanner(private val ctx: Context) {
    /**
     * Returns the starts and stops for the answer to a heartbeat of [machine], and marks the tasks to be started as
     * commanded. Orders are repeated in each answer until a heartbeat shows their effect.
     *
     * The heartbeat shows the [reportedTasks]. Only as many tasks are started as the next one has room for: what a
     * worker holds is not known before its first heartbeat, and it may keep exits of which this leader knows nothing.
     */
    fun ordersForAnswer(machine: Machine, reportedTasks: List<TaskStatus>): List<Order> {
        val freeBytes by lazy { HeartbeatSize.MAX_TASKS_BYTES - HeartbeatSize.maxTaskBytes(reportedTasks) }
        var startBytes = 0
        return machine.placements.values.mapNotNull { placement ->
            when {
                placement.hasExited -> null
                placement.stopping != null -> if (placement.isCommanded) stopOrderFor(placement) else null
                mayStart(machine, placement) -> {
                    startBytes += placement.job.heartbeatBytesPerTask
                    if (startBytes <= freeBytes) startOrderFor(placement) else null
                }
                else -> null
            }
        }
    }

    private fun startOrderFor(placement: Placement): Order {
        placement.isCommanded = true
        return Order(OrderOp.START, placement.job.spec.id, placement.task, placement.attempt)
    }

    /**
     * Returns the orders to send to [machine] in a direct command, or null if it needs none now. Only stops are sent
     * that way, since they do no harm when they arrive late, and each is sent once. If a start is due, the higher
     * fencing token of the command makes the worker send a heartbeat within half a second, and the answer to it carries
     * the start; the returned list may then be empty.
     */
    fun urgentOrders(machine: Machine): List<Order>? {
        if (!machine.hasUnsentOrders ||
            !machine.isRegistered ||
            machine.address.isEmpty() ||
            machine.isDeletionPending
        ) {
            return null
        }
        val unsentStops = machine.placements.values.filter { isStopUnsent(it) }
        val stops = unsentStops.take(MAX_ORDERS_PER_MESSAGE)
        stops.forEach { it.isStopSentDirectly = true }
        val isStartDue = machine.placements.values.any { isStartDue(machine, it) }
        val shouldRequestHeartbeat =
            isStartDue && ctx.now - machine.heartbeatRequestedAt > ctx.settings.workers.leaseS * REQUEST_INTERVAL_LEASES
        if (shouldRequestHeartbeat) machine.heartbeatRequestedAt = ctx.now
        machine.hasUnsentOrders = stops.size < unsentStops.size || (isStartDue && !shouldRequestHeartbeat)
        return if (stops.isEmpty() && !shouldRequestHeartbeat) null else stops.map(::stopOrderFor)
    }

    private fun isStopUnsent(placement: Placement): Boolean =
        placement.stopping != null && placement.isCommanded && !placement.isStopSentDirectly && !placement.hasExited

    /** Whether no answer has carried the start of [placement] yet, and the next one to [machine] may. */
    private fun isStartDue(machine: Machine, placement: Placement): Boolean = placement.stored &&
        !placement.isCommanded &&
        placement.stopping == null &&
        placement.session == machine.session

    /** Whether an answer to [machine] may carry the start of [placement]; also true after one did, until it is seen. */
    private fun mayStart(machine: Machine, placement: Placement): Boolean = placement.stored &&
        !placement.isReported &&
        !placement.job.cancelled &&
        !machine.isBeingScaledIn &&
        placement.session == machine.session

    private fun stopOrderFor(placement: Placement) =
        Order(OrderOp.STOP, placement.job.spec.id, placement.task, placement.attempt, placement.graceS)

    private companion object {
        /** The shortest interval between two requests for a heartbeat, as a fraction of the worker's lease. */
        const val REQUEST_INTERVAL_LEASES = 0.55
    }
}
