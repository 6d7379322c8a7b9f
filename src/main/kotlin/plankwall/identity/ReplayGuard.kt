package plankwall.identity

import java.util.PriorityQueue

/**
 * The ids of the unexpired tokens that were used on this node. It holds at most [capacity] of them. While it is full,
 * further tokens are refused, since forgetting one would allow its reuse.
 */
class ReplayGuard(private val capacity: Int) {
    private class UsedToken(val name: String, val expiresMs: Long)

    private val usedNames = HashSet<String>()
    private val byExpiry = PriorityQueue<UsedToken>(compareBy { it.expiresMs })

    /** The result of [use]: accepted as the first use, refused as a reuse, or refused because the guard is full. */
    enum class Use { FIRST, AGAIN, NO_ROOM }

    /** Records the use of token [id] of [principal], which expires at [expiresMs]. [wallMs]: the wall-clock time. */
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
