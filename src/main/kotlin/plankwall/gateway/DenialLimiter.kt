package plankwall.gateway

import plankwall.core.statemachine.Budget
import plankwall.core.statemachine.Time

/**
 * How often each of many may still be denied before it is no longer judged. Bounded: the one unseen for longest is
 * forgotten, and may begin anew.
 */
class GatewayLimits(private val time: Time, private val perSecond: Double, private val burst: Double) {
    private val budgets = object : LinkedHashMap<String, Budget>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Budget>): Boolean = size > MAX_NAMES
    }
    private val shed = LinkedHashMap<String, Int>()

    /** Whether [name] has used up what it may be denied; counted if so. */
    fun exhausted(name: String): Boolean {
        val left = budgets[name] ?: return false
        if (left.available() >= 1) return false
        if (name in shed || shed.size < MAX_SHED) shed.merge(name, 1, Int::plus) else shed.merge(OTHERS, 1, Int::plus)
        return true
    }

    fun denied(name: String) = budgets.getOrPut(name) { Budget(time, perSecond, burst).also { it.spend(0) } }.spend(1)

    fun retryAfterS(): Int = maxOf(1, (1 / perSecond).toInt())

    /** What was turned away unjudged since this was last asked, by name. */
    fun takeShed(): Map<String, Int> = shed.toMap().also { shed.clear() }

    private companion object {
        const val MAX_NAMES = 4096
        const val MAX_SHED = 50
        const val OTHERS = "others"
    }
}
