package plankwall.core.state

import plankwall.model.GroupKey

/**
 * A machine that was requested from the cloud and has not registered yet.
 *
 * @property machine the name of the machine
 * @property requestedAt when it was requested, in seconds of the monotonic clock
 * @property requestedMs when it was requested, in milliseconds of wall-clock time
 */
class BootingMachine(val machine: String, val group: GroupKey, val requestedAt: Double, val requestedMs: Long)
