package plankwall.core.state

import org.slf4j.LoggerFactory
import plankwall.core.store.LeaderStore
import plankwall.wire.StateResult
import plankwall.wire.Write

/** Removes stored pages whose job is over. What fails to be removed is found again by the next leader. */
internal class LeftoverPages(private val store: LeaderStore) {
    private val log = LoggerFactory.getLogger("jobs")

    /** Removes [keys], one transaction after the other. */
    fun remove(keys: List<String>) {
        if (keys.isEmpty()) return
        val next = keys.take(store.limits.txnOps)
        store.write(emptyList(), next.map { Write.Remove(it) }) { result ->
            if (result is StateResult.Committed) {
                remove(keys.drop(next.size))
            } else {
                log.debug("leftover pages kept count={}", next.size)
            }
        }
    }
}
