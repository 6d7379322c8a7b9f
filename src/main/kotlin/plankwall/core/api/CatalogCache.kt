package plankwall.core.api

import plankwall.core.statemachine.Context
import plankwall.core.store.ChunkedValue
import plankwall.model.Catalog
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.Keys
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * This node's copy of the catalog of machine types, which every node needs to check submissions. It is read from the
 * store first, so that jobs are accepted during an outage of the cloud, and from the cloud if the store has none yet.
 */
class CatalogCache(private val ctx: Context) {
    /** The machine types; null until they have been read. While this node leads, its term replaces them by its own. */
    var catalog: Catalog? = null

    /** The names of the machine types that the store holds, as last read or written by this node; null if unknown. */
    var storedTypes: List<String>? = null
    private var isReading = false
    private var nextReadAt = 0.0

    /** Starts a read of the machine types unless they are known; to be called on each tick. */
    fun tick() {
        if (catalog != null || isReading || ctx.now < nextReadAt) return
        isReading = true
        ctx.out.state(StateOp.Range(Keys.CATALOG, null, MAX_KEYS)) { result ->
            val stored = (result as? StateResult.Items)?.let { ChunkedValue.joinCatalog(it.items) }
            if (stored != null) {
                finishRead()
                if (catalog == null) catalog = stored
                storedTypes = stored.types.map { it.name }
            } else {
                readFromCloud()
            }
        }
    }

    private fun readFromCloud() = ctx.out.cloud(CloudOp.GetCatalog) { result ->
        finishRead()
        if (result is CloudResult.CatalogRead && catalog == null) catalog = result.catalog
    }

    /** Ends a read; another follows only if the types are still unknown, after a random delay. */
    private fun finishRead() {
        isReading = false
        nextReadAt = ctx.now + MIN_RETRY_S + ctx.random.nextDouble()
    }

    private companion object {
        /** The maximum number of keys over which the stored catalog may be split. */
        const val MAX_KEYS = 200

        /** The shortest delay between two reads; up to one second of jitter is added. */
        const val MIN_RETRY_S = 0.5
    }
}
