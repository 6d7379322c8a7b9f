package plankwall.core

import plankwall.core.api.Market
import plankwall.core.store.Divided
import plankwall.core.store.LeaderStore
import plankwall.model.Catalog
import plankwall.wire.Keys
import plankwall.wire.StateResult

/** Stores the machine types, so that every node knows them without asking the cloud. */
internal class CatalogWriter(private val store: LeaderStore, private val market: Market) {
    private var saving = false

    fun save(catalog: Catalog) {
        val names = catalog.types.map { it.name }
        if (saving || market.storedTypes == names) return
        val pieces = Divided.catalog(
            catalog,
            if (store.limits.mayDivide) store.limits.txnOps else 1,
            store.limits.wholeBytes,
        )
        // What can't be stored is asked of the cloud by every node instead, and not tried again.
        if (pieces == null) {
            if (store.limits.mayDivide) market.storedTypes = names
            return
        }
        saving = true
        store.write(emptyList(), Divided.writes(Keys.CATALOG, pieces, 0)) { result ->
            saving = false
            if (result is StateResult.Committed) market.storedTypes = names
        }
    }
}
