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
 * The autoscaler's record in the store: open requests, booting machines, machines to be returned. What is asked of the
 * cloud is stored before it is sent, so that the next leader neither requests the same machines twice nor gives tasks
 * to a machine that is being returned.
 */
class AutoscalerState(private val store: LeaderStore) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private val limits = store.limits
    private var version = 0L

    /** How many keys beyond the first may exist. */
    private var furtherKeys = 0
    private var isWriting = false

    /** The last record that the store rejected and that can't be made smaller. */
    private var rejected: FleetRecord? = null

    /** Whether there is something to be written. */
    var dirty = false

    /** Reads the record from [items]; null if there is none. */
    fun restore(items: List<StateItem>): FleetRecord? {
        readVersion(items)
        return ChunkedValue.fleet(items)
    }

    private fun readVersion(items: List<StateItem>) {
        version = items.firstOrNull { it.key == Keys.FLEET }?.version ?: 0L
        furtherKeys = ChunkedValue.further(Keys.FLEET, items)
    }

    /**
     * Writes what [record] gives, if there is something to be written and no write is under way. [onStored] gets what
     * was stored, which may be less than the whole.
     */
    fun save(record: () -> FleetRecord, onStored: (FleetRecord) -> Unit) {
        if (!dirty || isWriting || store.availableWrites() < 1) return
        val whole = record()
        if (whole == rejected) return
        val pieces = split(whole)
        val kept = join(pieces) ?: return
        dirty = false
        isWriting = true
        // As many obsolete keys as one transaction takes; those beyond count for nothing either way.
        val obsolete = minOf(furtherKeys, limits.txnOps - 1)
        store.write(listOf(Guard(Keys.FLEET, version)), ChunkedValue.writes(Keys.FLEET, pieces, obsolete)) { result ->
            isWriting = false
            when (result) {
                is StateResult.Committed -> {
                    version = result.revision
                    furtherKeys = pieces.size - 1
                    rejected = null
                    onStored(kept)
                }
                is StateResult.Conflict -> reread()
                StateResult.Rejected -> {
                    // Smaller limits are known by now; where they change nothing, only another record will do.
                    if (split(whole) == pieces) rejected = whole
                    dirty = true
                }
                else -> dirty = true
            }
        }
    }

    private fun join(pieces: List<FleetRecord>): FleetRecord? {
        val items = pieces.mapIndexed { index, piece ->
            StateItem(if (index == 0) Keys.FLEET else Keys.more(Keys.FLEET, index), piece, 0)
        }
        return ChunkedValue.fleet(items)
    }

    private fun maxPieces() = if (limits.mayDivide) limits.txnOps else 1

    /**
     * The whole record in as few pieces as fit. Only what fits none of this is left for later: machines that have
     * registered in the meantime would count as missing room, so it is the last resort.
     */
    private fun split(whole: FleetRecord): List<FleetRecord> {
        var part = 1.0
        while (true) {
            val record = if (part == 1.0) whole else partOf(whole, part)
            ChunkedValue.fleet(record, maxPieces(), limits.wholeBytes)?.let { return it }
            if (part < MIN_PART) return listOf(record)
            log.warn(
                "fleet record exceeds a transaction arrivals={} returns={}",
                whole.arrivals.size,
                whole.returning.size,
            )
            part *= SHRINK_FACTOR
        }
    }

    private fun partOf(whole: FleetRecord, part: Double) = FleetRecord(
        whole.rentals,
        whole.arrivals.takeLast((whole.arrivals.size * part).toInt()),
        whole.returning.take((whole.returning.size * part).toInt()),
    )

    private fun reread() {
        isWriting = true
        store.readAll(Keys.FLEET) { items, _ ->
            isWriting = false
            dirty = true
            readVersion(items)
        }
    }

    private companion object {
        const val MIN_PART = 0.01
        const val SHRINK_FACTOR = 0.7
    }
}
