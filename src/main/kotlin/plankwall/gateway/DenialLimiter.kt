package plankwall.gateway

import plankwall.core.statemachine.Time
import plankwall.core.statemachine.TokenBucket

/** The limits on denied requests, one for each principal and one for each network that requests come from. */
internal class DenialLimits(val byPrincipal: DenialLimiter, val byNetwork: DenialLimiter)

/**
 * Limits how often a request of the same name may be denied: [perSecond] denials a second, with bursts of [burst]. The
 * requests of a name that is over its limit are refused without being checked. At most [MAX_NAMES] names are kept; then
 * the least recently used one is dropped and starts again with a full budget.
 */
class DenialLimiter(private val time: Time, private val perSecond: Double, private val burst: Double) {
    /** The remaining denials of the names that were denied lately, the least recently used name first. */
    private val budgets = object : LinkedHashMap<String, TokenBucket>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, TokenBucket>): Boolean = size > MAX_NAMES
    }

    /** The number of requests that were refused unchecked since the last [takeShedCounts], by name. */
    private val shedCounts = LinkedHashMap<String, Int>()

    /** Whether [name] is over its limit. If it is, its request is counted as refused unchecked. */
    fun isExhausted(name: String): Boolean {
        val budget = budgets[name] ?: return false
        if (budget.available() >= 1) return false
        val countedName = if (name in shedCounts || shedCounts.size < MAX_SHED_NAMES) name else OTHER_NAMES
        shedCounts.merge(countedName, 1, Int::plus)
        return true
    }

    /** Counts a denied request of [name]. */
    fun recordDenial(name: String) =
        budgets.getOrPut(name) { TokenBucket(time, perSecond, burst).also { it.spend(0) } }.spend(1)

    /** The number of whole seconds after which a name that is over its limit may retry. */
    fun retryAfterS(): Int = maxOf(1, (1 / perSecond).toInt())

    /** Returns how many requests of each name were refused unchecked since the last call. */
    fun takeShedCounts(): Map<String, Int> = shedCounts.toMap().also { shedCounts.clear() }

    private companion object {
        const val MAX_NAMES = 4096
        const val MAX_SHED_NAMES = 50
        const val OTHER_NAMES = "others"
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
