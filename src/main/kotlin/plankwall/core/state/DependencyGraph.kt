package plankwall.core.state

/**
 * Which jobs wait for which others, and what follows from how those end. A job may start when all that it names are
 * done; it is withdrawn when one of them is, directly or through others. Both rest on stored facts that never change
 * back, so every node that has read them comes to the same result: the leader for what may start, each node for what
 * users are told. Chains may be of any length, hence no recursion.
 */
class DependencyGraph {
    /** By job: those it names that are not known to be done. */
    private val open = HashMap<String, LinkedHashSet<String>>()
    private val dependents = HashMap<String, LinkedHashSet<String>>()
    private val cancelled = HashSet<String>()

    /** Takes up [id], which needs [names]. Returns the jobs that are withdrawn by that: it may name a withdrawn one. */
    fun add(id: String, names: List<String>): List<String> {
        if (names.isEmpty() || id in open) return emptyList()
        open[id] = LinkedHashSet(names)
        names.forEach { dependents.getOrPut(it) { LinkedHashSet() }.add(id) }
        return if (names.any {
                it in cancelled
            }
        ) {
            listOf(id).filter { it !in cancelled } + cancelled(id)
        } else {
            emptyList()
        }
    }

    /** [id] is done for good. Returns the jobs that wait for nothing any more. */
    fun done(id: String): List<String> = dependents.remove(id).orEmpty().filter { job ->
        val left = open[job]
        left != null && left.remove(id) && left.isEmpty() && job !in cancelled
    }

    /** [id] is withdrawn for good. Returns the jobs that are so through it, those nearest first. */
    fun cancelled(id: String): List<String> {
        if (!cancelled.add(id)) return emptyList()
        val found = ArrayList<String>()
        val next = ArrayDeque(listOf(id))
        while (next.isNotEmpty()) {
            for (job in dependents[next.removeFirst()].orEmpty()) {
                if (!cancelled.add(job)) continue
                found.add(job)
                next.addLast(job)
            }
        }
        return found
    }

    /** [id] is over and known as such: only those that need it may still ask how it ended, and they have been told. */
    fun over(id: String) {
        for (name in open.remove(id).orEmpty()) {
            val others = dependents[name] ?: continue
            others.remove(id)
            if (others.isEmpty()) dependents.remove(name)
        }
        if (cancelled.remove(id)) dependents.remove(id)
    }

    fun clear() {
        open.clear()
        dependents.clear()
        cancelled.clear()
    }

    fun isReady(id: String): Boolean = open[id].isNullOrEmpty()

    fun isCancelled(id: String): Boolean = id in cancelled

    /** What [id] waits for as far as known. */
    fun openOf(id: String): Set<String> = open[id].orEmpty()

    fun dependentsOf(id: String): Set<String> = dependents[id].orEmpty()

    /** Those that [id] waits for, directly or through others, that are [unknown]: how they ended decides. */
    fun unsettled(id: String, unknown: (String) -> Boolean): Set<String> {
        if (id !in open) return emptySet()
        val found = LinkedHashSet<String>()
        val seen = hashSetOf(id)
        val next = ArrayDeque(listOf(id))
        while (next.isNotEmpty()) {
            for (name in openOf(next.removeFirst())) {
                if (!seen.add(name)) continue
                if (unknown(name)) found.add(name) else next.addLast(name)
            }
        }
        return found
    }
}
