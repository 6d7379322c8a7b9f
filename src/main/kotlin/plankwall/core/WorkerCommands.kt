package plankwall.core

import plankwall.core.election.Leadership
import plankwall.core.heartbeat.HeartbeatHandler
import plankwall.core.relay.DirectReachability
import plankwall.core.state.Fleet
import plankwall.core.state.Machine
import plankwall.core.statemachine.Context
import plankwall.core.statemachine.Effect
import plankwall.core.store.LeaderStore
import plankwall.wire.HeartbeatStatus
import plankwall.wire.Order
import plankwall.wire.WorkerCodec

/**
 * Sends the leader's direct commands to workers: urgent orders, announcements of its fencing token, and probes. Owns
 * [Machine.lastAnnouncedAt] and [Machine.announceSession].
 */
internal class WorkerCommands(
    private val ctx: Context,
    private val leadership: Leadership,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val heartbeatHandler: HeartbeatHandler,
    private val directReachability: DirectReachability,
) {
    /** Returns the fencing token for [machine], which is never lower than any token that its worker was shown. */
    fun tokenFor(machine: String): Long = maxOf(store.epoch, fleet.find(machine)?.token ?: 0L)

    /** Sends the commands that are due: urgent orders, then announcements, then probes. */
    fun tick() {
        sendUrgentOrders()
        announceTokens()
        sendProbes()
    }

    /**
     * Sends urgent orders even while the state service can't be reached: a stop needs no stored record, and a start is
     * only ordered once its placement is stored.
     */
    private fun sendUrgentOrders() {
        for (machine in fleet.machines) {
            if (!machine.hasUnsentOrders || directReachability.isUnreachable(machine)) continue
            val orders = heartbeatHandler.urgentOrders(machine) ?: continue
            machine.token = maxOf(machine.token, store.lastRevision)
            sendCommand(machine, machine.session, orders)
        }
    }

    /**
     * Shows the new leader's token directly to machines, so that their workers reject an older leader that goes on
     * answering them. Ends when every lease that an older leader can have renewed is surely over.
     */
    private fun announceTokens() {
        if (ctx.now > leadership.electedAt + ctx.outageGraceS + ctx.leaseExpiryBoundS) return
        var remainingAnnouncements = MAX_ANNOUNCEMENTS_PER_TICK
        for (machine in fleet.machines) {
            if (remainingAnnouncements == 0) return
            if (!isAnnouncementDue(machine) || ctx.now < leadership.electedAt + FIRST_ANNOUNCEMENT_DELAY_S) continue
            machine.lastAnnouncedAt = ctx.now
            remainingAnnouncements--
            val placedSession = machine.placements.values.firstOrNull()?.session ?: 1L
            sendCommand(machine, maxOf(machine.session, machine.announceSession, placedSession), emptyList())
        }
    }

    private fun isAnnouncementDue(machine: Machine): Boolean = !machine.hasSeenToken &&
        machine.address.isNotEmpty() &&
        !machine.isDeletionPending &&
        ctx.now - machine.lastAnnouncedAt >= ANNOUNCEMENT_INTERVAL_S

    /**
     * Adopts the session that [heartbeat], the worker's answer to an announcement that it refused, names for [machine].
     * The next announcement is then sent on the next tick.
     */
    fun retryRefusedAnnouncement(machine: Machine, heartbeat: HeartbeatStatus) {
        if (machine.hasSeenToken || heartbeat.token >= leadership.epoch) return
        if (heartbeat.session <= machine.announceSession) return
        machine.announceSession = heartbeat.session
        machine.lastAnnouncedAt = Machine.NEVER
    }

    /**
     * Sends a command without orders to machines whose heartbeats come through other nodes. An answer shows that the
     * leader reaches the worker directly.
     */
    private fun sendProbes() = directReachability.machinesToProbe().forEach { sendCommand(it, it.session, emptyList()) }

    private fun sendCommand(machine: Machine, session: Long, orders: List<Order>) {
        directReachability.onCommandSent(machine)
        val body = WorkerCodec.commands(tokenFor(machine.id), session, orders)
        ctx.out.add(Effect.WorkerPost(machine.id, machine.address, body))
    }

    private companion object {
        const val MAX_ANNOUNCEMENTS_PER_TICK = 6
        const val ANNOUNCEMENT_INTERVAL_S = 2.0

        /**
         * The time after the election within which most workers send a heartbeat by themselves and need no
         * announcement.
         */
        const val FIRST_ANNOUNCEMENT_DELAY_S = 2.0
    }
}
