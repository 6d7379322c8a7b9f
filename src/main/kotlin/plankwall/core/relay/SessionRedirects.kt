package plankwall.core.relay

import plankwall.core.sessions.SessionPlanner
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context

/** Decides which workers the leader redirects to the nodes that serve their sessions. */
internal class SessionRedirects(private val ctx: Context, private val sessions: SessionPlanner) {
    /** The node [assigned] to serve a worker's session, when it last did, and when the worker was redirected there. */
    private class Assignment(val assigned: String, var pauseS: Double) {
        var servedAt = Machine.NEVER
        var redirectedAt = Machine.NEVER
    }

    private val byMachine = HashMap<Int, Assignment>()
    private val leaseS = ctx.settings.workers.leaseS

    /**
     * The node that the worker of [machine] is to be redirected to, whose heartbeat came to the node [through]; null if
     * it is to be served as it came. A worker that its node served less than a lease ago has left that for a reason,
     * and one that was redirected there and is here did not get there: both are served as they come for a while, longer
     * each time.
     */
    fun targetFor(machine: Machine, zone: String, through: String): String? {
        val assigned = sessions.assignedNode(machine.id, zone) ?: return null
        val assignment = byMachine[machine.ix.value]?.takeIf { it.assigned == assigned }
            ?: Assignment(assigned, leaseS).also { byMachine[machine.ix.value] = it }
        if (through == assigned) {
            assignment.servedAt = ctx.now
            assignment.pauseS = leaseS
            return null
        }
        if (ctx.now - maxOf(assignment.servedAt, assignment.redirectedAt) < assignment.pauseS) return null
        if (assignment.redirectedAt > assignment.servedAt) {
            assignment.pauseS = (assignment.pauseS * 2).coerceAtMost(leaseS * MAX_PAUSE_LEASES)
        }
        assignment.redirectedAt = ctx.now
        return assigned
    }

    /** Forgets machines that are no longer in [fleet], once they are many. */
    fun prune(fleet: Fleet) {
        if (byMachine.size > fleet.machines.size * 2) {
            byMachine.keys.retainAll(fleet.machines.map { it.ix.value }.toSet())
        }
    }

    private companion object {
        const val MAX_PAUSE_LEASES = 8.0
    }
}
