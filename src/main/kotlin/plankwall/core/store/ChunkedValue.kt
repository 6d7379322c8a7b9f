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
 * Values that may outgrow one key: the first chunk says how many further keys hold the rest, and all are written in one
 * transaction. Further keys that the first does not count are left from an earlier write and mean nothing.
 */
object ChunkedValue {
    /** [whole] in at most [maxChunks] chunks of at most [maxBytes] each, or null if it does not fit. */
    fun fleet(whole: FleetRecord, maxChunks: Int, maxBytes: Int): List<FleetRecord>? =
        fewestChunks(maxChunks, maxBytes) { count ->
            listOfNotNull(evenChunks(whole, count), scaleOutsApart(whole, count))
        }

    /** The scale-out requests share the first chunk with machines. */
    private fun evenChunks(whole: FleetRecord, count: Int): List<FleetRecord> {
        val chunks = slices(whole, count)
        return listOf(chunks.first().copy(rentals = whole.rentals, more = count - 1)) + chunks.drop(1)
    }

    /** The scale-out requests, where they are many, have the first chunk to themselves; null for a single chunk. */
    private fun scaleOutsApart(whole: FleetRecord, count: Int): List<FleetRecord>? {
        if (count == 1) return null
        return listOf(FleetRecord(whole.rentals, emptyList(), emptyList(), count - 1)) + slices(whole, count - 1)
    }

    private fun slices(whole: FleetRecord, count: Int): List<FleetRecord> {
        val returning = whole.returning.sorted()
        return (0 until count).map { index ->
            FleetRecord(emptyList(), slice(whole.arrivals, index, count), slice(returning, index, count))
        }
    }

    /** [whole] in at most [maxChunks] chunks of at most [maxBytes] each, or null if it does not fit. */
    fun catalog(whole: Catalog, maxChunks: Int, maxBytes: Int): List<CatalogRecord>? =
        fewestChunks(maxChunks, maxBytes) { count ->
            listOf(
                (0 until count).map { index ->
                    CatalogRecord(Catalog(slice(whole.types, index, count)), if (index == 0) count - 1 else 0)
                },
            )
        }

    /** The first that fits of the ways in which [waysToSplit] splits the value into each number of chunks. */
    private fun <R : Stored> fewestChunks(
        maxChunks: Int,
        maxBytes: Int,
        waysToSplit: (Int) -> List<List<R>>,
    ): List<R>? = (1..maxChunks).firstNotNullOfOrNull { count ->
        waysToSplit(count).firstOrNull { chunks ->
            chunks.size <= maxChunks && chunks.all { StateCodec.sizeOf(it) <= maxBytes }
        }
    }

    private fun <T> slice(all: List<T>, index: Int, count: Int): List<T> =
        all.subList(all.size * index / count, all.size * (index + 1) / count)

    /** The changes of one transaction: [chunks], and the removal of further keys up to [had] that are obsolete. */
    fun writes(key: String, chunks: List<Stored>, had: Int): List<Write> =
        chunks.mapIndexed { index, chunk -> Write.Put(if (index == 0) key else Keys.more(key, index), chunk) } +
            (chunks.size..had).map { Write.Remove(Keys.more(key, it)) }

    /** How many further keys of [key] are among [items], counted by the first or not. */
    fun further(key: String, items: List<StateItem>): Int =
        items.maxOfOrNull { it.key.removePrefix("$key/").toIntOrNull() ?: 0 } ?: 0

    /** The whole fleet record that is stored as [items], or null if there is none. */
    fun fleet(items: List<StateItem>): FleetRecord? {
        val first = items.firstOrNull { it.key == Keys.FLEET }?.value as? FleetRecord ?: return null
        val all = listOf(first) + rest(Keys.FLEET, first.more, items).filterIsInstance<FleetRecord>()
        return FleetRecord(first.rentals, all.flatMap { it.arrivals }, all.flatMap { it.returning })
    }

    /** Null unless all of it is there: with a part of the types a job might be rejected that could run. */
    fun catalog(items: List<StateItem>): Catalog? {
        val first = items.firstOrNull { it.key == Keys.CATALOG }?.value as? CatalogRecord ?: return null
        val rest = rest(Keys.CATALOG, first.more, items).filterIsInstance<CatalogRecord>()
        return if (rest.size == first.more) Catalog((listOf(first) + rest).flatMap { it.catalog.types }) else null
    }

    private fun rest(key: String, more: Int, items: List<StateItem>): List<Stored> {
        val itemsByKey = items.associateBy { it.key }
        return (1..more).mapNotNull { itemsByKey[Keys.more(key, it)]?.value }
    }
}
