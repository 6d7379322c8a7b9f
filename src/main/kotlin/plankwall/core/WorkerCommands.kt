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
 * The direct commands of a leader to workers: urgent orders, announcements of its fencing token, and probes. Owns
 * [Machine.lastAnnounced] and [Machine.announceSession].
 */
internal class WorkerCommands(
    private val ctx: Context,
    private val leadership: Leadership,
    private val store: LeaderStore,
    private val fleet: Fleet,
    private val heartbeats: HeartbeatHandler,
    private val reach: DirectReachability,
) {
    /** The fencing token for [machine]: never lower than what it was shown. */
    fun tokenFor(machine: String): Long = maxOf(store.epoch, fleet.find(machine)?.token ?: 0L)

    /** Sends what is due: urgent orders, then announcements, then probes. */
    fun tick() {
        sendUrgent()
        announceToken()
        sendProbes()
    }

    /** Also without the state service: a stop needs nothing stored, and what is stored already may start. */
    private fun sendUrgent() {
        for (machine in fleet.machines) {
            if (!machine.unsent || reach.isUnreachable(machine)) continue
            val orders = heartbeats.urgentOrders(machine) ?: continue
            machine.token = maxOf(machine.token, store.lastRevision)
            send(machine, machine.session, orders)
        }
    }

    /** Shows machines the new token directly, so that they drop the answers of an older leader that goes on. */
    private fun announceToken() {
        if (ctx.now > leadership.wonAt + ctx.outageGraceS + ctx.surelyOverS) return
        var left = MAX_ANNOUNCED_PER_TICK
        for (machine in fleet.machines) {
            if (left == 0) return
            if (!needsAnnouncement(machine) || ctx.now < leadership.wonAt + FIRST_ANNOUNCEMENT_S) continue
            machine.lastAnnounced = ctx.now
            left--
            val placedSession = machine.placements.values.firstOrNull()?.session ?: 1L
            send(machine, maxOf(machine.session, machine.announceSession, placedSession), emptyList())
        }
    }

    private fun needsAnnouncement(machine: Machine): Boolean = !machine.confirmed &&
        machine.address.isNotEmpty() &&
        !machine.deleting &&
        ctx.now - machine.lastAnnounced >= ANNOUNCE_S

    /** A worker refused an announcement, and [heartbeat] names the session to use: the next one follows at once. */
    fun onRefusedAnnouncement(machine: Machine, heartbeat: HeartbeatStatus) {
        if (machine.confirmed || heartbeat.token >= leadership.epoch) return
        if (heartbeat.session <= machine.announceSession) return
        machine.announceSession = heartbeat.session
        machine.lastAnnounced = Machine.NEVER
    }

    /** Machines whose heartbeats come through other nodes are tried with a command without orders. */
    private fun sendProbes() = reach.machinesToProbe().forEach { send(it, it.session, emptyList()) }

    private fun send(machine: Machine, session: Long, orders: List<Order>) {
        reach.onCommandSent(machine)
        val body = WorkerCodec.commands(tokenFor(machine.id), session, orders)
        ctx.out.add(Effect.WorkerPost(machine.id, machine.address, body))
    }

    private companion object {
        const val MAX_ANNOUNCED_PER_TICK = 6
        const val ANNOUNCE_S = 2.0

        /** After the election most workers send a heartbeat by themselves first. */
        const val FIRST_ANNOUNCEMENT_S = 2.0
    }
}
