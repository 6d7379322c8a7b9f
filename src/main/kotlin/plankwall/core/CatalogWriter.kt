package plankwall.core

import plankwall.core.api.CapacityView
import plankwall.core.store.ChunkedValue
import plankwall.core.store.LeaderStore
import plankwall.model.Catalog
import plankwall.wire.Keys
import plankwall.wire.StateResult

/** Stores the machine types, so that every node knows them without asking the cloud. Owns the key `catalog`. */
internal class CatalogWriter(private val store: LeaderStore, private val capacityView: CapacityView) {
    private var isSaving = false

    /** Stores [catalog] unless it is stored already. */
    fun save(catalog: Catalog) {
        val names = catalog.types.map { it.name }
        if (isSaving || capacityView.storedTypes == names) return
        val chunks = ChunkedValue.catalog(
            catalog,
            if (store.limits.mayDivide) store.limits.txnOps else 1,
            store.limits.wholeBytes,
        )
        // What can't be stored is requested from the cloud by every node instead, and not tried again.
        if (chunks == null) {
            if (store.limits.mayDivide) capacityView.storedTypes = names
            return
        }
        isSaving = true
        store.write(emptyList(), ChunkedValue.writes(Keys.CATALOG, chunks, 0)) { result ->
            isSaving = false
            if (result is StateResult.Committed) capacityView.storedTypes = names
        }
    }
}
