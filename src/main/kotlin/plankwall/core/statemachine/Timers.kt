package plankwall.core.statemachine

import java.util.PriorityQueue

/** Schedules actions to run once their time has come. */
internal class Timers(private val time: Time) {
    private class Timer(val dueAt: Double, val action: () -> Unit)

    private val queue = PriorityQueue<Timer>(compareBy { it.dueAt })

    /** Schedules [action] to run [delayS] seconds from now. */
    fun schedule(delayS: Double, action: () -> Unit) {
        queue.add(Timer(time.now + delayS, action))
    }

    /** Runs the actions that are due, the earliest first, including those that they schedule for now. */
    fun runDue() {
        while (queue.isNotEmpty() && queue.peek().dueAt <= time.now) queue.poll().action()
    }
}
