package plankwall.core.statemachine

import plankwall.model.ServiceLevelObjectives
import plankwall.model.Settings
import plankwall.model.SiteNames
import plankwall.model.Tuning
import java.util.Random

/**
 * What all parts of the core share: settings, time, timers, randomness and the outbox.
 *
 * @property incarnation distinguishes the runs of this node's process, rising from one to the next
 */
class Context(val settings: Settings, val tuning: Tuning, val incarnation: Long, val random: Random) {
    val time = Time()
    val out = Outbox()
    val objectives = ServiceLevelObjectives(settings.objectives)
    val names = SiteNames(settings.teams.map { it.name })
    private val timers = Timers(time)

    /** Seconds of the steady clock, as of the input being handled. */
    val now: Double get() = time.now

    /** How long a leader that lost the state service goes on answering heartbeats, in seconds (X in the design). */
    val outageGraceS: Double = tuning.outageGraceLeases * settings.workers.leaseS

    /** From this many seconds after the heartbeat behind the last answer on, a worker's lease is over by any clock. */
    val surelyOverS: Double = settings.workers.leaseS * MAX_CLOCK_DRIFT + LEASE_MARGIN_S

    /** Runs [action] on the first tick after [delayS] seconds. */
    fun runAfter(delayS: Double, action: () -> Unit) = timers.schedule(delayS, action)

    /** Runs the actions that are due; to be called on each tick. */
    fun runTimers() = timers.runDue()

    private companion object {
        const val MAX_CLOCK_DRIFT = 1.002
        const val LEASE_MARGIN_S = 1.0
    }
}
