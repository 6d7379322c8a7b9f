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
 * Values that may outgrow one key: the first says how many further keys hold the rest, and all are written in one
 * transaction. Further keys that the first does not name are left from an earlier time and count for nothing.
 */
object ChunkedValue {
    /** The fewest pieces that fit, at most [most]; null if there is no way. */
    private fun <R : Stored> pieces(most: Int, limit: Int, ways: (Int) -> List<List<R>>): List<R>? {
        for (n in 1..most) {
            ways(n).firstOrNull { way ->
                way.size <= most && way.all { StateCodec.sizeOf(it) <= limit }
            }?.let { return it }
        }
        return null
    }

    fun fleet(whole: FleetRecord, most: Int, limit: Int): List<FleetRecord>? = pieces(most, limit) { n ->
        // The rentals either share the first piece or, where they are many, have it to themselves.
        val apart = if (n ==
            1
        ) {
            null
        } else {
            listOf(FleetRecord(whole.rentals, emptyList(), emptyList(), n - 1)) + slices(whole, n - 1)
        }
        val even = slices(whole, n).mapIndexed { i, s ->
            if (i ==
                0
            ) {
                s.copy(rentals = whole.rentals, more = n - 1)
            } else {
                s
            }
        }
        listOfNotNull(even, apart)
    }

    private fun slices(whole: FleetRecord, n: Int): List<FleetRecord> {
        val returning = whole.returning.sorted()
        return (0 until n).map { FleetRecord(emptyList(), slice(whole.arrivals, it, n), slice(returning, it, n)) }
    }

    private fun <T> slice(all: List<T>, i: Int, n: Int): List<T> = all.subList(all.size * i / n, all.size * (i + 1) / n)

    fun catalog(whole: Catalog, most: Int, limit: Int): List<CatalogRecord>? = pieces(most, limit) { n ->
        listOf((0 until n).map { CatalogRecord(Catalog(slice(whole.types, it, n)), if (it == 0) n - 1 else 0) })
    }

    /** One transaction's changes: the pieces, and the removal of further keys up to [had] that are needed no more. */
    fun writes(key: String, pieces: List<Stored>, had: Int): List<Write> =
        pieces.mapIndexed { i, p -> Write.Put(if (i == 0) key else Keys.more(key, i), p) } +
            (pieces.size..had).map { Write.Remove(Keys.more(key, it)) }

    /** How many further keys of [key] there are, counted or not. */
    fun further(key: String, items: List<StateItem>): Int =
        items.maxOfOrNull { it.key.removePrefix("$key/").toIntOrNull() ?: 0 } ?: 0

    fun fleet(items: List<StateItem>): FleetRecord? {
        val first = items.firstOrNull { it.key == Keys.FLEET }?.value as? FleetRecord ?: return null
        val all = listOf(first) + rest(Keys.FLEET, first.more, items).filterIsInstance<FleetRecord>()
        return FleetRecord(first.rentals, all.flatMap { it.arrivals }, all.flatMap { it.returning })
    }

    /** Null unless all of it is there: with a part of the types a job might be refused that could run. */
    fun catalog(items: List<StateItem>): Catalog? {
        val first = items.firstOrNull { it.key == Keys.CATALOG }?.value as? CatalogRecord ?: return null
        val rest = rest(Keys.CATALOG, first.more, items).filterIsInstance<CatalogRecord>()
        return if (rest.size == first.more) Catalog((listOf(first) + rest).flatMap { it.catalog.types }) else null
    }

    private fun rest(key: String, more: Int, items: List<StateItem>): List<Stored> {
        val byKey = items.associateBy { it.key }
        return (1..more).mapNotNull { byKey[Keys.more(key, it)]?.value }
    }
}
