package plankwall.core.state

import plankwall.core.store.LeaderStore
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.StateResult
import plankwall.wire.Write

/**
 * Writes [snapshots] in one transaction, the result of which goes to [onResult]. Each write is guarded on the version
 * of its page and on that of its job's record, so that no write follows a cancellation and none is applied twice.
 */
internal fun LeaderStore.writePages(snapshots: List<PageSnapshot>, onResult: (StateResult) -> Unit) {
    val jobGuards = snapshots.map { it.job }.distinct().map { Guard(Keys.job(it.spec.id), it.version) }
    val pageGuards = snapshots.map { Guard(it.key, it.page.version) }
    write(jobGuards + pageGuards, snapshots.map { Write.Put(it.key, it.record) }, onResult)
}
