package plankwall.core.state

/**
 * The dependencies between jobs, and what the end of one means for the others. A job may start when all jobs that it
 * depends on are done; it is cancelled when one of them is cancelled, whether it depends on that one directly or
 * through others. Both follow from stored facts that never change back, so every node that has read them comes to the
 * same result: the leader decides by it what may start, each node what it answers users. Chains may be of any length,
 * so no function here is recursive.
 *
 * The graph owns its edges and the set of cancelled jobs; nothing of it is stored.
 */
class DependencyGraph {
    /** For each job, the jobs that it depends on and that are not known to be done. */
    private val unfinished = HashMap<String, LinkedHashSet<String>>()

    /** For each job, the jobs that depend on it directly. */
    private val dependents = HashMap<String, LinkedHashSet<String>>()
    private val cancelled = HashSet<String>()

    /**
     * Adds [id], which depends on [dependencies], and returns the jobs that are cancelled by that: if one of the
     * dependencies is cancelled, so are [id] and all jobs that depend on it. Does nothing if [id] was added before.
     */
    fun add(id: String, dependencies: List<String>): List<String> {
        if (dependencies.isEmpty() || id in unfinished) return emptyList()
        unfinished[id] = LinkedHashSet(dependencies)
        dependencies.forEach { dependents.getOrPut(it) { LinkedHashSet() }.add(id) }
        if (dependencies.none { it in cancelled }) return emptyList()
        return listOf(id).filter { it !in cancelled } + markCancelled(id)
    }

    /** Records that [id] is done permanently. Returns the jobs that become ready by that. */
    fun markDone(id: String): List<String> = dependents.remove(id).orEmpty().filter { dependent ->
        val remaining = unfinished[dependent]
        remaining != null && remaining.remove(id) && remaining.isEmpty() && dependent !in cancelled
    }

    /**
     * Records that [id] is cancelled permanently. Returns the jobs that are cancelled because of it, in breadth-first
     * order.
     */
    fun markCancelled(id: String): List<String> {
        if (!cancelled.add(id)) return emptyList()
        val found = ArrayList<String>()
        val queue = ArrayDeque(listOf(id))
        while (queue.isNotEmpty()) {
            for (dependent in dependents[queue.removeFirst()].orEmpty()) {
                if (!cancelled.add(dependent)) continue
                found.add(dependent)
                queue.addLast(dependent)
            }
        }
        return found
    }

    /**
     * Removes [id], which has ended. Only jobs that depend on it could still ask how it ended, and they learned that
     * from [markDone] or [markCancelled].
     */
    fun forget(id: String) {
        for (dependency in unfinished.remove(id).orEmpty()) {
            val itsDependents = dependents[dependency] ?: continue
            itsDependents.remove(id)
            if (itsDependents.isEmpty()) dependents.remove(dependency)
        }
        if (cancelled.remove(id)) dependents.remove(id)
    }

    /** Removes all jobs. */
    fun clear() {
        unfinished.clear()
        dependents.clear()
        cancelled.clear()
    }

    /** Returns whether all jobs that [id] depends on are known to be done. */
    fun isReady(id: String): Boolean = unfinished[id].isNullOrEmpty()

    /** Returns whether [id] is cancelled, by its user or because of a job that it depends on. */
    fun isCancelled(id: String): Boolean = id in cancelled

    /** Returns the jobs that [id] depends on directly and that are not known to be done. */
    fun unfinishedOf(id: String): Set<String> = unfinished[id].orEmpty()

    /** Returns the jobs that depend on [id] directly. */
    fun dependentsOf(id: String): Set<String> = dependents[id].orEmpty()

    /**
     * Returns the jobs for which [isUnknown] holds among those that [id] depends on, directly or through others.
     * Whether [id] is cancelled depends on how they ended.
     */
    fun unresolved(id: String, isUnknown: (String) -> Boolean): Set<String> {
        if (id !in unfinished) return emptySet()
        val found = LinkedHashSet<String>()
        val seen = hashSetOf(id)
        val queue = ArrayDeque(listOf(id))
        while (queue.isNotEmpty()) {
            for (dependency in unfinishedOf(queue.removeFirst())) {
                if (!seen.add(dependency)) continue
                if (isUnknown(dependency)) found.add(dependency) else queue.addLast(dependency)
            }
        }
        return found
    }
}
