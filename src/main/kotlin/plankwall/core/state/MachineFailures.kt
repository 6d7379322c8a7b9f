package plankwall.core.state

import plankwall.model.MachineIndex

/**
 * The machines on which tasks of one job failed. Each is avoided for a while, longer after each further failure, and is
 * then tried again: it may have been faulty for some seconds only, and no other machine may have room. As evidence
 * about the job a failure stays until the machine turns out to be faulty or a task succeeds there.
 */
class MachineFailures {
    private class Entry(val failures: Int, val avoidedUntil: Double)

    private val entries = HashMap<Int, Entry>()

    /** The number of machines. */
    val size: Int get() = entries.size

    /** Whether no task failed on any machine. */
    fun isEmpty(): Boolean = entries.isEmpty()

    /**
     * Records that a task failed on [machine] at [now], in seconds of the monotonic clock. [jitter], from 0 to 1, is
     * drawn at random, so that jobs that failed together do not come back together.
     */
    fun record(machine: MachineIndex, now: Double, jitter: Double) {
        val failures = 1 + (entries[machine.value]?.failures ?: 0)
        val delayS = minOf(MAX_DELAY_S, FIRST_DELAY_S * (1 shl minOf(failures - 1, MAX_DOUBLINGS)))
        entries[machine.value] = Entry(failures, now + delayS * (1.0 + (jitter * 2 - 1) * JITTER_PART))
    }

    /** Forgets the failures on [machine]. */
    fun remove(machine: MachineIndex) {
        entries.remove(machine.value)
    }

    /** Whether no task of the job is to be placed on [machine] at [now], in seconds of the monotonic clock. */
    fun isAvoided(machine: MachineIndex, now: Double): Boolean {
        val entry = entries[machine.value] ?: return false
        return now < entry.avoidedUntil
    }

    private companion object {
        const val FIRST_DELAY_S = 15.0

        /** With the jitter well below the 90 s for which a job may wait beside a machine that has room. */
        const val MAX_DELAY_S = 50.0
        const val MAX_DOUBLINGS = 4

        /** The part of a delay by which it is shortened or lengthened at most. */
        const val JITTER_PART = 0.2
    }
}
