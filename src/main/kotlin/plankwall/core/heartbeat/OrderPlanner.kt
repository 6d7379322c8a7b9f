package plankwall.core.heartbeat

import plankwall.core.state.Machine
import plankwall.core.state.Placement
import plankwall.core.statemachine.Context
import plankwall.wire.Order
import plankwall.wire.OrderOp

/** Derives the orders for workers from the placements on their machines. */
internal class OrderPlanner(private val ctx: Context) {
    /** The starts and stops for the answer to a heartbeat of [machine]; starts count as commanded from now on. */
    fun ordersForAnswer(machine: Machine): List<Order> = machine.placements.values.mapNotNull { placement ->
        when {
            placement.ended -> null
            placement.stopping != null -> if (placement.commanded) stop(placement) else null
            mayStart(machine, placement) -> {
                placement.commanded = true
                Order(OrderOp.START, placement.job.spec.id, placement.task, placement.attempt)
            }
            else -> null
        }
    }

    /**
     * The orders that are worth a direct command to [machine]: stops, which do no harm when late. If a start is due,
     * the command's higher fencing token alone makes the worker send a heartbeat within half a second, and the start
     * goes into the answer; the list may be empty then. Null if there is neither.
     */
    fun urgentOrders(machine: Machine): List<Order>? {
        if (!machine.unsent || !machine.registered || machine.address.isEmpty() || machine.deleting) return null
        val stops = machine.placements.values.filter { isStopUnsent(it) }
        stops.forEach { it.stopPosted = true }
        val isStartDue = machine.placements.values.any { isStartDue(machine, it) }
        val requestHeartbeat =
            isStartDue && ctx.now - machine.lastWokenAt > ctx.settings.workers.leaseS * REQUEST_INTERVAL_LEASES
        if (requestHeartbeat) machine.lastWokenAt = ctx.now
        machine.unsent = isStartDue && !requestHeartbeat
        return if (stops.isEmpty() && !requestHeartbeat) null else stops.map(::stop)
    }

    private fun isStopUnsent(placement: Placement): Boolean =
        placement.stopping != null && placement.commanded && !placement.stopPosted && !placement.ended

    private fun isStartDue(machine: Machine, placement: Placement): Boolean = placement.stored &&
        !placement.commanded &&
        placement.stopping == null &&
        placement.session == machine.session

    private fun mayStart(machine: Machine, placement: Placement): Boolean = placement.stored &&
        !placement.seen &&
        !placement.job.cancelled &&
        !machine.returning &&
        placement.session == machine.session

    private fun stop(placement: Placement) =
        Order(OrderOp.STOP, placement.job.spec.id, placement.task, placement.attempt, placement.graceS)

    private companion object {
        /** The least interval between two requests for a heartbeat, as a part of the worker's lease. */
        const val REQUEST_INTERVAL_LEASES = 0.55
    }
}
