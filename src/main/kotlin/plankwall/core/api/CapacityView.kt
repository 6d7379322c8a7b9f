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
 * The machine types, which each node needs to check submissions. They are read from the store first, so that jobs are
 * accepted during an outage of the cloud, and from the cloud if the store has none yet.
 */
class CapacityView(private val ctx: Context) {
    /** The machine types; null until they are read. */
    var catalog: Catalog? = null

    /** Names of the types in the stored copy; null if none has been read. */
    var storedTypes: List<String>? = null
    private var reading = false
    private var nextReadAt = 0.0

    /** Reads the types until they are known; to be called regularly. */
    fun tick() {
        if (catalog != null || reading || ctx.now < nextReadAt) return
        reading = true
        ctx.out.state(StateOp.Range(Keys.CATALOG, null, MAX_KEYS)) { result ->
            val stored = (result as? StateResult.Items)?.let { ChunkedValue.catalog(it.items) }
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

    private fun finishRead() {
        reading = false
        nextReadAt = ctx.now + MIN_RETRY_S + ctx.random.nextDouble()
    }

    private companion object {
        const val MAX_KEYS = 200
        const val MIN_RETRY_S = 0.5
    }
}
