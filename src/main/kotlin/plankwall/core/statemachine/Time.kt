package plankwall.core.statemachine

/**
 * The time as of the input being handled. The core reads no clock of its own, which is what lets the simulation run it
 * in virtual time.
 */
class Time {
    /** Seconds of the steady clock; never decreases. */
    var now = 0.0
        private set

    /** Milliseconds of the time of day, which may jump. */
    var wallMs = 0L
        private set

    /** Sets the time of the next input: [now] in seconds of the steady clock, [wallMs] as the time of day. */
    fun advance(now: Double, wallMs: Long) {
        // A clock that seems to step back must not make a lease look longer than it is.
        this.now = maxOf(this.now, now)
        this.wallMs = wallMs
    }
}
