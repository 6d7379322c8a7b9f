package plankwall.core.relay

import plankwall.core.state.Machine
import plankwall.core.statemachine.Context

/** Which zones' workers can be reached directly, by what was received from any of them. */
internal class ZonePaths(private val ctx: Context) {
    private val lastOpenAt = HashMap<String, Double>()

    /** Since when direct commands to a zone's machines, whose sessions other nodes serve, have gone unanswered. */
    private val unansweredSince = HashMap<String, Double>()

    /** The worker on [machine] sent a heartbeat directly. */
    fun onDirectHeartbeat(machine: Machine) {
        machine.group?.let { lastOpenAt[it.zone] = ctx.now }
    }

    /** The worker on [machine] answered a direct command. */
    fun onCommandAnswered(machine: Machine) {
        machine.group?.let {
            lastOpenAt[it.zone] = ctx.now
            unansweredSince.remove(it.zone)
        }
    }

    /** A direct command was sent to [machine], whose session another node serves. */
    fun onCommandSent(machine: Machine) {
        machine.group?.let { unansweredSince.putIfAbsent(it.zone, ctx.now) }
    }

    /** Some worker of the machine's zone sent a heartbeat directly or was reached within a heartbeat interval. */
    fun isOpen(machine: Machine): Boolean =
        ctx.now - (lastOpenAt[machine.group?.zone] ?: Machine.NEVER) < ctx.settings.workers.longestReportS

    /**
     * Commands to the machine's zone go unanswered. Half of the time they are let through all the same, to find out
     * when the path is open again.
     */
    fun areCommandsHeldBack(machine: Machine): Boolean {
        val zone = machine.group?.zone ?: return false
        val since = unansweredSince[zone] ?: return false
        return (ctx.now - since) % (HOLD_BACK_S * 2) >= HOLD_BACK_S
    }

    private companion object {
        /** A worker answers a command within 3 s, or its caller gives up. */
        const val HOLD_BACK_S = 4.0
    }
}
