package plankwall.core.state

/**
 * Which jobs depend on which others, and what follows from how those end. A job may start when all that it names are
 * done; it is cancelled when one of them is, directly or through others. Both rest on stored facts that never change
 * back, so every node that has read them comes to the same result: the leader for what may start, each node for what
 * it answers users. Chains may be of any length, hence no recursion.
 *
 * The graph owns its edges and the set of cancelled jobs; nothing of it is stored.
 */
class DependencyGraph {
    /** By job: those it names that are not known to be done. */
    private val unfinished = HashMap<String, LinkedHashSet<String>>()
    private val dependents = HashMap<String, LinkedHashSet<String>>()
    private val cancelled = HashSet<String>()

    /**
     * Adds [id], which depends on [names]. Returns the jobs that are cancelled by that, since it may name a cancelled
     * one.
     */
    fun add(id: String, names: List<String>): List<String> {
        if (names.isEmpty() || id in unfinished) return emptyList()
        unfinished[id] = LinkedHashSet(names)
        names.forEach { dependents.getOrPut(it) { LinkedHashSet() }.add(id) }
        if (names.none { it in cancelled }) return emptyList()
        return listOf(id).filter { it !in cancelled } + markCancelled(id)
    }

    /** [id] is done for good. Returns the jobs that are ready by that. */
    fun markDone(id: String): List<String> = dependents.remove(id).orEmpty().filter { job ->
        val left = unfinished[job]
        left != null && left.remove(id) && left.isEmpty() && job !in cancelled
    }

    /** [id] is cancelled for good. Returns the jobs that are cancelled through it, those nearest first. */
    fun markCancelled(id: String): List<String> {
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

    /**
     * Removes [id], whose end is known. Only jobs that depend on it may still ask how it ended, and they learned it
     * from [markDone] or [markCancelled].
     */
    fun forget(id: String) {
        for (name in unfinished.remove(id).orEmpty()) {
            val others = dependents[name] ?: continue
            others.remove(id)
            if (others.isEmpty()) dependents.remove(name)
        }
        if (cancelled.remove(id)) dependents.remove(id)
    }

    /** Removes all jobs. */
    fun clear() {
        unfinished.clear()
        dependents.clear()
        cancelled.clear()
    }

    /** Whether [id] depends on nothing that is not known to be done. */
    fun isReady(id: String): Boolean = unfinished[id].isNullOrEmpty()

    /** Whether [id] is cancelled, by itself or through another. */
    fun isCancelled(id: String): Boolean = id in cancelled

    /** What [id] names and is not known to be done. */
    fun unfinishedOf(id: String): Set<String> = unfinished[id].orEmpty()

    /** The jobs that name [id]. */
    fun dependentsOf(id: String): Set<String> = dependents[id].orEmpty()

    /** Those that [id] depends on, directly or through others, that are [unknown]: how they ended decides. */
    fun unresolved(id: String, unknown: (String) -> Boolean): Set<String> {
        if (id !in unfinished) return emptySet()
        val found = LinkedHashSet<String>()
        val seen = hashSetOf(id)
        val next = ArrayDeque(listOf(id))
        while (next.isNotEmpty()) {
            for (name in unfinishedOf(next.removeFirst())) {
                if (!seen.add(name)) continue
                if (unknown(name)) found.add(name) else next.addLast(name)
            }
        }
        return found
    }
}
