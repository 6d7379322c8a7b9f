package plankwall.identity

/**
 * The ids of tokens that were used here and have not expired. Bounded: when it is full of live ones, no more are taken,
 * which the caller answers with 429, rather than forgetting one that could be used again.
 */
class ReplayGuard(private val capacity: Int) {
    private val until = HashMap<String, Long>()
    private val byExpiry = java.util.PriorityQueue<Pair<Long, String>>(compareBy { it.first })

    enum class Use { FIRST, AGAIN, NO_ROOM }

    fun use(principal: String, id: String, expiresMs: Long, wallMs: Long): Use {
        while (byExpiry.isNotEmpty() && byExpiry.peek().first <= wallMs) until.remove(byExpiry.poll().second)
        val name = "$principal\n$id"
        if (name in until) return Use.AGAIN
        if (until.size >= capacity) return Use.NO_ROOM
        until[name] = expiresMs
        byExpiry.add(expiresMs to name)
        return Use.FIRST
    }
}
