package plankwall.core.relay

import plankwall.core.state.Machine
import plankwall.core.statemachine.Context

/** Tracks which zones' workers can be reached directly: a message from one worker counts for its whole zone. */
internal class ZonePaths(private val ctx: Context) {
    /** By zone, the time at which a worker last sent a direct heartbeat or answered a direct command, in seconds. */
    private val lastOpenAt = HashMap<String, Double>()

    /**
     * By zone, the time since which no direct command to a machine whose session another node serves has been answered.
     */
    private val unansweredSince = HashMap<String, Double>()

    /** Records that the worker on [machine] sent a heartbeat directly. */
    fun onDirectHeartbeat(machine: Machine) {
        machine.group?.let { lastOpenAt[it.zone] = ctx.now }
    }

    /** Records that the worker on [machine] answered a direct command. */
    fun onCommandAnswered(machine: Machine) {
        machine.group?.let {
            lastOpenAt[it.zone] = ctx.now
            unansweredSince.remove(it.zone)
        }
    }

    /** Records that a direct command was sent to [machine], whose session another node serves. */
    fun onCommandSent(machine: Machine) {
        machine.group?.let { unansweredSince.putIfAbsent(it.zone, ctx.now) }
    }

    /**
     * Whether a worker of the machine's zone sent a direct heartbeat or answered a direct command within the longest
     * heartbeat interval.
     */
    fun isOpen(machine: Machine): Boolean =
        ctx.now - (lastOpenAt[machine.group?.zone] ?: Machine.NEVER) < ctx.settings.workers.longestHeartbeatIntervalS

    /**
     * Whether direct commands to the machine's zone are held back now, since they go unanswered. Sending and holding
     * back alternate for equal periods, so that the leader finds out when the path is open again.
     */
    fun areCommandsHeldBack(machine: Machine): Boolean {
        val zone = machine.group?.zone ?: return false
        val since = unansweredSince[zone] ?: return false
        return (ctx.now - since) % (HOLD_BACK_PERIOD_S * 2) >= HOLD_BACK_PERIOD_S
    }

    private companion object {
        /** Longer than the 3 s after which an unanswered command times out. */
        const val HOLD_BACK_PERIOD_S = 4.0
    }
}
