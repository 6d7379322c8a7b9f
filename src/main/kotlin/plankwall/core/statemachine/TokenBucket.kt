package plankwall.core.statemachine

/** A rate limit as a token bucket, which is full at first and gains [perSecond] tokens a second, up to [burst]. */
class TokenBucket(private val time: Time, private var perSecond: Double, private var burst: Double = perSecond) {
    private var tokens = burst
    private var filledAt = 0.0

    /**
     * Sets the rate, and the burst to one second's worth of tokens. The tokens that are available stay, up to the new
     * burst.
     */
    fun setRate(perSecond: Double) {
        available()
        this.perSecond = perSecond
        burst = perSecond
        tokens = minOf(tokens, burst)
    }

    /** Returns the number of tokens available now, which is negative after [spend] took more than there were. */
    fun available(): Double {
        tokens = minOf(burst, tokens + (time.now - filledAt) * perSecond)
        filledAt = time.now
        return tokens
    }

    /**
     * Takes [count] tokens even if fewer are available; the deficit has to be refilled before anything else is granted.
     */
    fun spend(count: Int) {
        available()
        tokens -= count
    }

    /** Takes [count] tokens if that many are available, and returns whether it did. */
    fun tryTake(count: Int): Boolean {
        if (available() < count) return false
        tokens -= count
        return true
    }

    /**
     * Takes [count] tokens like [tryTake]. A full bucket grants even more than the burst, which would otherwise never
     * be granted.
     */
    fun tryTakeOrBorrow(count: Int): Boolean {
        if (available() < minOf(count.toDouble(), burst)) return false
        tokens -= count
        return true
    }
}
