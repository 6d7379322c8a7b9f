package plankwall.core.statemachine

import plankwall.model.ServiceLevelObjectives
import plankwall.model.Settings
import plankwall.model.SiteNames
import plankwall.model.Tuning
import java.util.Random

/**
 * The state and services that all parts of the core share: settings, time, timers, randomness and the outbox.
 *
 * @property incarnation the number of this run of the node's process; higher in each later run
 */
class Context(val settings: Settings, val tuning: Tuning, val incarnation: Long, val random: Random) {
    val time = Time()

    /** Collects the effects of the current step and keeps the callbacks of calls. */
    val out = Outbox()
    val objectives = ServiceLevelObjectives(settings.objectives)

    /** The numbers that this node gives to the names of teams and images. */
    val names = SiteNames(settings.teams.map { it.name })
    private val timers = Timers(time)

    /** The time of the input being handled, in seconds of the monotonic clock. */
    val now: Double get() = time.now

    /**
     * The seconds for which a leader that lost the state service goes on answering heartbeats once its own lease has
     * expired.
     */
    val outageGraceS: Double = tuning.outageGraceLeases * settings.workers.leaseS

    /**
     * The seconds after which a worker's lease is over by any clock, counted from the heartbeat that was answered last.
     */
    val leaseExpiryBoundS: Double = settings.workers.leaseS * MAX_CLOCK_DRIFT + LEASE_MARGIN_S

    /** Runs [action] on the first tick after [delayS] seconds. */
    fun runAfter(delayS: Double, action: () -> Unit) = timers.schedule(delayS, action)

    /** Runs the actions that are due; to be called on each tick. */
    fun runTimers() = timers.runDue()

    private companion object {
        /** The factor by which this node's clock may run faster than a worker's. */
        const val MAX_CLOCK_DRIFT = 1.002
        const val LEASE_MARGIN_S = 1.0
    }
}
