package plankwall.core.state

import plankwall.model.GroupKey

/**
 * A machine that was scaled out and has not registered yet. [rentedAt] is in seconds of the steady clock, [rentedMs] in
 * milliseconds of the time of day.
 */
class BootingMachine(val machine: String, val group: GroupKey, val rentedAt: Double, val rentedMs: Long)
