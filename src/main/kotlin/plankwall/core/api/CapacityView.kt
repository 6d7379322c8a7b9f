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
 * The machine types, which every node needs to judge a submission. Read from the store first, so that an outage of
 * the cloud stops no acceptance; from the cloud where the store has none yet.
 */
class CapacityView(private val ctx: Context) {
    var catalog: Catalog? = null

    /** Names of the types in the stored copy. */
    var storedTypes: List<String>? = null
    private var asking = false
    private var nextTry = 0.0

    fun tick() {
        if (catalog != null || asking || ctx.now < nextTry) return
        asking = true
        ctx.out.state(StateOp.Range(Keys.CATALOG, null, MAX_KEYS)) { result ->
            val stored = (result as? StateResult.Items)?.let { ChunkedValue.catalog(it.items) }
            if (stored != null) {
                settled()
                if (catalog == null) catalog = stored
                storedTypes = stored.types.map { it.name }
            } else {
                askCloud()
            }
        }
    }

    private fun askCloud() = ctx.out.cloud(CloudOp.GetCatalog) { result ->
        settled()
        if (result is CloudResult.CatalogRead && catalog == null) catalog = result.catalog
    }

    private fun settled() {
        asking = false
        nextTry = ctx.now + 0.5 + ctx.random.nextDouble()
    }

    private companion object {
        const val MAX_KEYS = 200
    }
}
