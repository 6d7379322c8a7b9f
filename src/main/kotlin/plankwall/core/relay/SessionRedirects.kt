package plankwall.core.relay

import plankwall.core.sessions.SessionPlanner
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context

/** Decides which workers the leader redirects to the nodes that serve their sessions. */
internal class SessionRedirects(private val ctx: Context, private val sessions: SessionPlanner) {
    /**
     * The [node] that is assigned to serve a worker's session, when it last served it, and when the worker was last
     * redirected there; times in seconds. After either, the worker is not redirected there again for [pauseS].
     */
    private class Assignment(val node: String, var pauseS: Double) {
        var servedAt = Machine.NEVER
        var redirectedAt = Machine.NEVER
    }

    private val assignmentsByMachine = HashMap<Int, Assignment>()
    private val leaseS = ctx.settings.workers.leaseS

    /**
     * Returns the node that the worker on [machine] is to be redirected to, or null if its heartbeat is to be answered
     * without a redirect. [receivingNode] is the node that received the heartbeat, which may be the leader itself. A
     * worker that its assigned node served less than a lease ago has left that node for a reason, and one that was
     * redirected there and sends heartbeats elsewhere could not reach it. Both are served wherever they connect for a
     * while; after a failed redirect that pause doubles, up to a limit.
     */
    fun targetFor(machine: Machine, zone: String, receivingNode: String): String? {
        val assignedNode = sessions.assignedNode(machine.id, zone) ?: return null
        val assignment = assignmentsByMachine[machine.index.value]?.takeIf { it.node == assignedNode }
            ?: Assignment(assignedNode, leaseS).also { assignmentsByMachine[machine.index.value] = it }
        if (receivingNode == assignedNode) {
            assignment.servedAt = ctx.now
            assignment.pauseS = leaseS
            return null
        }
        if (ctx.now - maxOf(assignment.servedAt, assignment.redirectedAt) < assignment.pauseS) return null
        if (assignment.redirectedAt > assignment.servedAt) {
            assignment.pauseS = (assignment.pauseS * 2).coerceAtMost(leaseS * MAX_PAUSE_LEASES)
        }
        assignment.redirectedAt = ctx.now
        return assignedNode
    }

    /** Drops the assignments of machines that are no longer in [fleet] once there are twice as many as machines. */
    fun prune(fleet: Fleet) {
        if (assignmentsByMachine.size > fleet.machines.size * 2) {
            assignmentsByMachine.keys.retainAll(fleet.machines.map { it.index.value }.toSet())
        }
    }

    private companion object {
        const val MAX_PAUSE_LEASES = 8.0
    }
}
