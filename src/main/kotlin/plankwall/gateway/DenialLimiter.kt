package plankwall.gateway

import plankwall.core.statemachine.Time
import plankwall.core.statemachine.TokenBucket

/** How many denied requests are still checked, of each principal and from each network. */
internal class DenialLimits(val byPrincipal: DenialLimiter, val byNetwork: DenialLimiter)

/**
 * How often each of many names may be denied ([perSecond], with bursts of [burst]) before its requests are refused
 * unchecked. Bounded: the name unused for longest is forgotten, and may begin anew.
 */
class DenialLimiter(private val time: Time, private val perSecond: Double, private val burst: Double) {
    private val budgets = object : LinkedHashMap<String, TokenBucket>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, TokenBucket>): Boolean = size > MAX_NAMES
    }
    private val shed = LinkedHashMap<String, Int>()

    /** Whether [name] has used up its denials; the request is counted as shed if so. */
    fun isExhausted(name: String): Boolean {
        val budget = budgets[name] ?: return false
        if (budget.available() >= 1) return false
        val counted = if (name in shed || shed.size < MAX_SHED_NAMES) name else OTHER_NAMES
        shed.merge(counted, 1, Int::plus)
        return true
    }

    /** Counts a denied request of [name]. */
    fun recordDenial(name: String) =
        budgets.getOrPut(name) { TokenBucket(time, perSecond, burst).also { it.spend(0) } }.spend(1)

    /** Seconds after which an exhausted name may try again. */
    fun retryAfterS(): Int = maxOf(1, (1 / perSecond).toInt())

    /** How many requests were shed since the last call, by name. */
    fun takeShed(): Map<String, Int> = shed.toMap().also { shed.clear() }

    private companion object {
        const val MAX_NAMES = 4096
        const val MAX_SHED_NAMES = 50
        const val OTHER_NAMES = "others"
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
