package plankwall.simulation

import java.util.PriorityQueue

/** Virtual time: events run in order of their time, and of their coming where that is the same. */
class SimulatedClock {
    private class Event(val at: Double, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L
    var now = 0.0
        private set

    fun after(delay: Double, action: () -> Unit) {
        queue.add(Event(now + delay, order++, action))
    }

    fun every(period: Double, action: () -> Unit) {
        after(period) {
            action()
            every(period, action)
        }
    }

    fun runUntil(end: Double) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val e = queue.poll()
            now = e.at
            e.action()
        }
        now = end
    }
}
