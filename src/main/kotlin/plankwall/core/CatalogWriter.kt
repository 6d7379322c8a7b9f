package plankwall.core

import plankwall.core.api.CapacityView
import plankwall.core.store.ChunkedValue
import plankwall.core.store.LeaderStore
import plankwall.model.Catalog
import plankwall.wire.Keys
import plankwall.wire.StateResult

/** Stores the machine types, so that every node knows them without asking the cloud. */
internal class CatalogWriter(private val store: LeaderStore, private val capacityView: CapacityView) {
    private var saving = false

    fun save(catalog: Catalog) {
        val names = catalog.types.map { it.name }
        if (saving || capacityView.storedTypes == names) return
        val pieces = ChunkedValue.catalog(
            catalog,
            if (store.limits.mayDivide) store.limits.txnOps else 1,
            store.limits.wholeBytes,
        )
        // What can't be stored is asked of the cloud by every node instead, and not tried again.
        if (pieces == null) {
            if (store.limits.mayDivide) capacityView.storedTypes = names
            return
        }
        saving = true
        store.write(emptyList(), ChunkedValue.writes(Keys.CATALOG, pieces, 0)) { result ->
            saving = false
            if (result is StateResult.Committed) capacityView.storedTypes = names
        }
    }
}
