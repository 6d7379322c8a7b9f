package plankwall.core.store

import plankwall.model.Catalog
import plankwall.wire.CatalogRecord
import plankwall.wire.FleetRecord
import plankwall.wire.Keys
import plankwall.wire.StateCodec
import plankwall.wire.StateItem
import plankwall.wire.Stored
import plankwall.wire.Write

/**
 * Values that may be too large for one key and are then split into chunks under several keys. The first chunk holds the
 * number of further chunks, and all are written in one transaction. Further keys beyond that number are left over from
 * an earlier write and are ignored.
 */
object ChunkedValue {
    /** Splits [record] into at most [maxChunks] chunks of at most [maxBytes] bytes each; null if it does not fit. */
    fun splitFleet(record: FleetRecord, maxChunks: Int, maxBytes: Int): List<FleetRecord>? =
        fewestChunks(maxChunks, maxBytes) { count ->
            listOfNotNull(evenChunks(record, count), separateScaleOuts(record, count))
        }

    /** Splits the machines evenly among all [count] chunks; the first chunk also holds the scale-out requests. */
    private fun evenChunks(record: FleetRecord, count: Int): List<FleetRecord> {
        val chunks = slices(record, count)
        return listOf(chunks.first().copy(scaleOutRequests = record.scaleOutRequests, furtherChunks = count - 1)) +
            chunks.drop(1)
    }

    /**
     * Puts the scale-out requests into the first chunk and the machines into the others, for the case that there are
     * many requests; null for a single chunk.
     */
    private fun separateScaleOuts(record: FleetRecord, count: Int): List<FleetRecord>? {
        if (count == 1) return null
        return listOf(FleetRecord(record.scaleOutRequests, emptyList(), emptyList(), count - 1)) +
            slices(record, count - 1)
    }

    private fun slices(record: FleetRecord, count: Int): List<FleetRecord> {
        val machinesBeingScaledIn = record.machinesBeingScaledIn.sorted()
        return (0 until count).map { index ->
            FleetRecord(
                emptyList(),
                slice(record.bootingMachines, index, count),
                slice(machinesBeingScaledIn, index, count),
            )
        }
    }

    /** Splits [catalog] into at most [maxChunks] chunks of at most [maxBytes] bytes each; null if it does not fit. */
    fun splitCatalog(catalog: Catalog, maxChunks: Int, maxBytes: Int): List<CatalogRecord>? =
        fewestChunks(maxChunks, maxBytes) { count ->
            listOf(
                (0 until count).map { index ->
                    CatalogRecord(Catalog(slice(catalog.types, index, count)), if (index == 0) count - 1 else 0)
                },
            )
        }

    /**
     * Returns the first split that fits, beginning with the smallest number of chunks. [waysToSplit] returns the
     * possible splits into a number of chunks, in order of preference.
     */
    private fun <R : Stored> fewestChunks(
        maxChunks: Int,
        maxBytes: Int,
        waysToSplit: (Int) -> List<List<R>>,
    ): List<R>? = (1..maxChunks).firstNotNullOfOrNull { count ->
        waysToSplit(count).firstOrNull { chunks ->
            chunks.size <= maxChunks && chunks.all { StateCodec.sizeOf(it) <= maxBytes }
        }
    }

    private fun <T> slice(items: List<T>, index: Int, count: Int): List<T> =
        items.subList(items.size * index / count, items.size * (index + 1) / count)

    /**
     * Returns the changes of one transaction: it stores [chunks] under [key] and its further keys, and removes the
     * obsolete ones of the [oldFurtherKeys] further keys that an earlier write may have used.
     */
    fun changesFor(key: String, chunks: List<Stored>, oldFurtherKeys: Int): List<Write> =
        chunks.mapIndexed { index, chunk -> Write.Put(if (index == 0) key else Keys.furtherChunk(key, index), chunk) } +
            (chunks.size..oldFurtherKeys).map { Write.Remove(Keys.furtherChunk(key, it)) }

    /**
     * Returns the highest number of a further key of [key] among [items], whether or not the first chunk counts it; 0
     * if there is none.
     */
    fun highestFurtherKey(key: String, items: List<StateItem>): Int =
        items.maxOfOrNull { it.key.removePrefix("$key/").toIntOrNull() ?: 0 } ?: 0

    /** Returns the complete fleet record that is stored as [items], or null if there is none. */
    fun joinFleet(items: List<StateItem>): FleetRecord? {
        val first = items.firstOrNull { it.key == Keys.FLEET }?.value as? FleetRecord ?: return null
        val chunks =
            listOf(first) + furtherValues(Keys.FLEET, first.furtherChunks, items).filterIsInstance<FleetRecord>()
        return FleetRecord(
            first.scaleOutRequests,
            chunks.flatMap {
                it.bootingMachines
            },
            chunks.flatMap { it.machinesBeingScaledIn },
        )
    }

    /**
     * Returns the complete catalog that is stored as [items]. Returns null unless all chunks are present: with only
     * some of the machine types, a job that could run might be rejected.
     */
    fun joinCatalog(items: List<StateItem>): Catalog? {
        val first = items.firstOrNull { it.key == Keys.CATALOG }?.value as? CatalogRecord ?: return null
        val others = furtherValues(Keys.CATALOG, first.furtherChunks, items).filterIsInstance<CatalogRecord>()
        return if (others.size ==
            first.furtherChunks
        ) {
            Catalog((listOf(first) + others).flatMap { it.catalog.types })
        } else {
            null
        }
    }

    private fun furtherValues(key: String, count: Int, items: List<StateItem>): List<Stored> {
        val itemsByKey = items.associateBy { it.key }
        return (1..count).mapNotNull { itemsByKey[Keys.furtherChunk(key, it)]?.value }
    }
}
