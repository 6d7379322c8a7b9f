package plankwall.core.statemachine

/**
 * The time of the input being handled. The core does not read a clock itself, so that the simulation can run it in
 * virtual time.
 */
class Time {
    /** The time in seconds of the monotonic clock; never decreases. */
    var now = 0.0
        private set

    /** The wall-clock time in milliseconds, which may jump. */
    var wallMs = 0L
        private set

    /**
     * Sets the time of the next input: [now] in seconds of the monotonic clock, [wallMs] in milliseconds of wall-clock
     * time.
     */
    fun advance(now: Double, wallMs: Long) {
        // A clock that seems to step back must not make a lease look longer than it is.
        this.now = maxOf(this.now, now)
        this.wallMs = wallMs
    }
}
