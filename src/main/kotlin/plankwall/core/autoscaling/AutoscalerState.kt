package plankwall.core.autoscaling

import org.slf4j.LoggerFactory
import plankwall.core.store.ChunkedValue
import plankwall.core.store.LeaderStore
import plankwall.wire.FleetRecord
import plankwall.wire.Guard
import plankwall.wire.Keys
import plankwall.wire.StateItem
import plankwall.wire.StateResult

/**
 * The rental loop's memory in the state service. What is asked of the cloud is stored before it is sent, so that a
 * successor neither rents the same room twice nor gives work to a machine that is being returned.
 */
class AutoscalerState(private val store: LeaderStore) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private val limits = store.limits
    private var version = 0L

    /** Further keys that may exist. */
    private var further = 0
    private var writing = false
    private var refused: FleetRecord? = null

    /** There is something to be written. */
    var dirty = false

    fun restore(items: List<StateItem>): FleetRecord? {
        note(items)
        return ChunkedValue.fleet(items)
    }

    private fun note(items: List<StateItem>) {
        version = items.firstOrNull { it.key == Keys.FLEET }?.version ?: 0L
        further = ChunkedValue.further(Keys.FLEET, items)
    }

    fun save(record: () -> FleetRecord, stored: (FleetRecord) -> Unit) {
        if (!dirty || writing || store.room() < 1) return
        val whole = record()
        if (whole == refused) return
        val pieces = pieces(whole)
        val kept =
            ChunkedValue.fleet(
                pieces.mapIndexed { i, p ->
                    StateItem(
                        if (i ==
                            0
                        ) {
                            Keys.FLEET
                        } else {
                            Keys.more(Keys.FLEET, i)
                        },
                        p,
                        0,
                    )
                },
            )
                ?: return
        dirty = false
        writing = true
        // As many obsolete keys as one transaction takes; those beyond count for nothing either way.
        val had = minOf(further, limits.txnOps - 1)
        store.write(listOf(Guard(Keys.FLEET, version)), ChunkedValue.writes(Keys.FLEET, pieces, had)) { result ->
            writing = false
            when (result) {
                is StateResult.Committed -> {
                    version = result.revision
                    further = pieces.size - 1
                    refused = null
                    stored(kept)
                }
                is StateResult.Conflict -> reread()
                StateResult.Rejected -> {
                    // Smaller limits are known by now; where they change nothing, only another record will do.
                    if (pieces(whole) == pieces) refused = whole
                    dirty = true
                }
                else -> dirty = true
            }
        }
    }

    private fun most() = if (limits.mayDivide) limits.txnOps else 1

    /**
     * The whole record in as few pieces as fit. Only what fits none of this is left for later: first what has arrived
     * in the meantime would count as missing room, so it is the last resort.
     */
    private fun pieces(whole: FleetRecord): List<FleetRecord> {
        var part = 1.0
        while (true) {
            val record = if (part == 1.0) {
                whole
            } else {
                FleetRecord(
                    whole.rentals,
                    whole.arrivals.takeLast((whole.arrivals.size * part).toInt()),
                    whole.returning.take((whole.returning.size * part).toInt()),
                )
            }
            ChunkedValue.fleet(record, most(), limits.wholeBytes)?.let { return it }
            if (part < LEAST_PART) return listOf(record)
            log.warn(
                "the fleet's record outgrows a transaction: of {} arrivals and {} returns some wait",
                whole.arrivals.size,
                whole.returning.size,
            )
            part *= SHRINK
        }
    }

    private fun reread() {
        writing = true
        store.readAll(Keys.FLEET) { items, _ ->
            writing = false
            dirty = true
            note(items)
        }
    }

    private companion object {
        const val LEAST_PART = 0.01
        const val SHRINK = 0.7
    }
}
