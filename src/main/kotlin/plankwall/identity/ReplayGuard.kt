package plankwall.identity

import java.util.PriorityQueue

/**
 * The ids of tokens that were used here and have not expired. Bounded to [capacity]: when it is full of unexpired ones,
 * further tokens are refused rather than forgetting one that could be used again.
 */
class ReplayGuard(private val capacity: Int) {
    private class UsedToken(val name: String, val expiresMs: Long)

    private val usedNames = HashSet<String>()
    private val byExpiry = PriorityQueue<UsedToken>(compareBy { it.expiresMs })

    enum class Use { FIRST, AGAIN, NO_ROOM }

    /** Records the use of token [id] of [principal]. [wallMs]: the time of day. */
    fun use(principal: String, id: String, expiresMs: Long, wallMs: Long): Use {
        while (byExpiry.isNotEmpty() && byExpiry.peek().expiresMs <= wallMs) usedNames.remove(byExpiry.poll().name)
        val name = "$principal\n$id"
        if (name in usedNames) return Use.AGAIN
        if (usedNames.size >= capacity) return Use.NO_ROOM
        usedNames.add(name)
        byExpiry.add(UsedToken(name, expiresMs))
        return Use.FIRST
    }
}
