package plankwall.core.statemachine

import java.util.PriorityQueue

/** Actions to be run once their time has come. */
internal class Timers(private val time: Time) {
    private class Timer(val dueAt: Double, val action: () -> Unit)

    private val timers = PriorityQueue<Timer>(compareBy { it.dueAt })

    /** Schedules [action] to run [delayS] seconds from now. */
    fun schedule(delayS: Double, action: () -> Unit) {
        timers.add(Timer(time.now + delayS, action))
    }

    /** Runs the actions that are due, the earliest first; also those that they schedule for now. */
    fun runDue() {
        while (timers.isNotEmpty() && timers.peek().dueAt <= time.now) timers.poll().action()
    }
}
