package plankwall.core.statemachine

/** A rate limit as a token bucket that fills at [perSecond] up to [burst] tokens; full at first. */
class TokenBucket(private val time: Time, private var perSecond: Double, private var burst: Double = perSecond) {
    private var tokens = burst
    private var filledAt = 0.0

    /** Sets the rate, and a burst of one second's worth; tokens already there stay, up to the new burst. */
    fun setRate(perSecond: Double) {
        available()
        this.perSecond = perSecond
        burst = perSecond
        tokens = minOf(tokens, burst)
    }

    /** The tokens available now; negative after [spend] took more than there were. */
    fun available(): Double {
        tokens = minOf(burst, tokens + (time.now - filledAt) * perSecond)
        filledAt = time.now
        return tokens
    }

    /** Takes [count] tokens even if fewer are available: what was done anyway is made up for before anything else. */
    fun spend(count: Int) {
        available()
        tokens -= count
    }

    /** Takes [count] tokens if they are available. */
    fun tryTake(count: Int): Boolean {
        if (available() < count) return false
        tokens -= count
        return true
    }

    /** Like [tryTake], but grants more than the burst when the bucket is full; it would never be granted otherwise. */
    fun tryTakeOrBorrow(count: Int): Boolean {
        if (available() < minOf(count.toDouble(), burst)) return false
        tokens -= count
        return true
    }
}
