package plankwall.simulation

import java.util.PriorityQueue

/**
 * A virtual clock with a queue of scheduled actions. Actions run in the order of their time; those of the same time run
 * in the order in which they were scheduled.
 */
class SimulatedClock {
    private class Event(val time: Double, val sequenceNumber: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy<Event> { it.time }.thenBy { it.sequenceNumber })
    private var nextSequenceNumber = 0L

    /** The current virtual time in seconds; 0 at the start. */
    var now = 0.0
        private set

    /** Schedules [action] to run once, [delayS] seconds from now. */
    fun after(delayS: Double, action: () -> Unit) {
        queue.add(Event(now + delayS, nextSequenceNumber++, action))
    }

    /** Schedules [action] to run every [periodS] seconds, the first time one period from now. */
    fun every(periodS: Double, action: () -> Unit) {
        after(periodS) {
            action()
            every(periodS, action)
        }
    }

    /** Runs all actions that are due up to [endS], those that they schedule included, and sets [now] to [endS]. */
    fun runUntil(endS: Double) {
        while (queue.isNotEmpty() && queue.peek().time <= endS) {
            val event = queue.poll()
            now = event.time
            event.action()
        }
        now = endS
    }
}
