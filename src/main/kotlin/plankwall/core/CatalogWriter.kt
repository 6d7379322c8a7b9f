package plankwall.core

import plankwall.core.api.CatalogCache
import plankwall.core.store.ChunkedValue
import plankwall.core.store.LeaderStore
import plankwall.model.Catalog
import plankwall.wire.Keys
import plankwall.wire.StateResult

/** Stores the machine types, so that every node knows them without asking the cloud. Owns the key `catalog`. */
internal class CatalogWriter(private val store: LeaderStore, private val catalogCache: CatalogCache) {
    private var isSaving = false

    /** Stores [catalog] unless it is stored already or a write of it is in flight. */
    fun save(catalog: Catalog) {
        val typeNames = catalog.types.map { it.name }
        if (isSaving || catalogCache.storedTypes == typeNames) return
        val chunks = ChunkedValue.splitCatalog(
            catalog,
            if (store.limits.maySplitValues) store.limits.txnOps else 1,
            store.limits.maxBytesPerKey,
        )
        // A catalog that does not fit is not tried again, and every node requests it from the cloud instead. Before the
        // upgrade it is tried again, since several chunks may be written later.
        if (chunks == null) {
            if (store.limits.maySplitValues) catalogCache.storedTypes = typeNames
            return
        }
        isSaving = true
        store.write(emptyList(), ChunkedValue.changesFor(Keys.CATALOG, chunks, 0)) { result ->
            isSaving = false
            if (result is StateResult.Committed) catalogCache.storedTypes = typeNames
        }
    }
}
