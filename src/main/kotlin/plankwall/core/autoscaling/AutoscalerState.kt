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
 * The autoscaler's record in the store: unanswered scale-out requests, booting machines, and machines being scaled in.
 * Every request to the cloud is stored before it is sent, so that the next leader neither requests the same machines
 * twice nor places tasks on a machine that is being scaled in. The record may take several keys: see [ChunkedValue].
 */
class AutoscalerState(private val store: LeaderStore) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private val limits = store.limits

    /** The version of the record's first key, which guards every write; 0 if there is no record. */
    private var version = 0L

    /** The number of keys beyond the first that may exist in the store, obsolete ones included. */
    private var extraKeys = 0
    private var isWriting = false

    /** The last record that the store rejected and that cannot be made smaller; null if there is none. */
    private var rejectedRecord: FleetRecord? = null

    /** Whether the record has changed since it was last written. */
    var isDirty = false

    /** Reads the record that is stored in [items]. Returns null if there is none. */
    fun restore(items: List<StateItem>): FleetRecord? {
        readVersion(items)
        return ChunkedValue.joinFleet(items)
    }

    private fun readVersion(items: List<StateItem>) {
        version = items.firstOrNull { it.key == Keys.FLEET }?.version ?: 0L
        extraKeys = ChunkedValue.highestFurtherKey(Keys.FLEET, items)
    }

    /**
     * Writes the record that [createRecord] returns if it has changed and no write is under way. [onStored] receives
     * the stored record, which may hold less than the returned one.
     */
    fun save(createRecord: () -> FleetRecord, onStored: (FleetRecord) -> Unit) {
        if (!isDirty || isWriting || store.availableWrites() < 1) return
        val fullRecord = createRecord()
        if (fullRecord == rejectedRecord) return
        val chunks = splitIntoChunks(fullRecord)
        val recordToStore = joinChunks(chunks) ?: return
        isDirty = false
        isWriting = true
        // Removes as many obsolete keys as fit into one transaction. Those that stay are ignored by readers.
        val lastKeyToRemove = minOf(extraKeys, limits.txnOps - 1)
        store.write(
            listOf(Guard(Keys.FLEET, version)),
            ChunkedValue.changesFor(Keys.FLEET, chunks, lastKeyToRemove),
        ) { result ->
            isWriting = false
            when (result) {
                is StateResult.Committed -> {
                    version = result.revision
                    extraKeys = chunks.size - 1
                    rejectedRecord = null
                    onStored(recordToStore)
                }
                is StateResult.Conflict -> reread()
                StateResult.Rejected -> {
                    // The rejection has lowered the known limits. If the record still splits in the same way, writing
                    // it again is useless until it changes.
                    if (splitIntoChunks(fullRecord) == chunks) rejectedRecord = fullRecord
                    isDirty = true
                }
                else -> isDirty = true
            }
        }
    }

    private fun joinChunks(chunks: List<FleetRecord>): FleetRecord? {
        val items = chunks.mapIndexed { index, chunk ->
            StateItem(if (index == 0) Keys.FLEET else Keys.furtherChunk(Keys.FLEET, index), chunk, 0)
        }
        return ChunkedValue.joinFleet(items)
    }

    private fun maxChunks() = if (limits.maySplitValues) limits.txnOps else 1

    /**
     * Splits [fullRecord] into as few chunks as possible. If it does not fit into one transaction, a part of its
     * booting machines and of its machines being scaled in is left out until a later write. That is the last resort:
     * machines that have registered in the meantime would count as missing capacity.
     */
    private fun splitIntoChunks(fullRecord: FleetRecord): List<FleetRecord> {
        var keptShare = 1.0
        while (true) {
            val record = if (keptShare == 1.0) fullRecord else reduce(fullRecord, keptShare)
            ChunkedValue.splitFleet(record, maxChunks(), limits.maxBytesPerKey)?.let { return it }
            if (keptShare < MIN_KEPT_SHARE) return listOf(record)
            log.warn(
                "fleet record exceeds a transaction arrivals={} returns={}",
                fullRecord.bootingMachines.size,
                fullRecord.machinesBeingScaledIn.size,
            )
            keptShare *= SHRINK_FACTOR
        }
    }

    /** All scale-out requests of [fullRecord], with the [keptShare] of its booting and its returning machines. */
    private fun reduce(fullRecord: FleetRecord, keptShare: Double) = FleetRecord(
        fullRecord.scaleOutRequests,
        fullRecord.bootingMachines.takeLast((fullRecord.bootingMachines.size * keptShare).toInt()),
        fullRecord.machinesBeingScaledIn.take((fullRecord.machinesBeingScaledIn.size * keptShare).toInt()),
    )

    /** Reads the record's version anew after a conflict; no write may start in the meantime. */
    private fun reread() {
        isWriting = true
        store.readAll(Keys.FLEET) { items, _ ->
            isWriting = false
            isDirty = true
            readVersion(items)
        }
    }

    private companion object {
        const val MIN_KEPT_SHARE = 0.01
        const val SHRINK_FACTOR = 0.7
    }
}
