package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.store.LeaderStore
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * Removes the stored pages of jobs that have ended. Pages that cannot be removed are found again by the next leader.
 */
internal class LeftoverPages(private val store: LeaderStore) {
    private val log = LoggerFactory.getLogger("jobs")

    /** Removes the pages under [keys], one transaction after the other, until one of them fails. */
    fun remove(keys: List<String>) {
        if (keys.isEmpty()) return
        val batch = keys.take(store.limits.txnOps)
        store.write(emptyList(), batch.map { Write.Remove(it) }) { result ->
            if (result is StateResult.Committed) {
                remove(keys.drop(batch.size))
            } else {
                log.debug("leftover pages kept count={}", batch.size)
            }
        }
    }
}
