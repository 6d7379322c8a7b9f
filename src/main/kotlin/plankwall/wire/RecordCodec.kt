package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser

/**
 * A value that the controllers keep in the state service. The key determines the kind of the value, see [Keys] and
 * [AccessKeys].
 */
sealed interface Stored

/** Codec of stored values as JSON. No other program reads them, so short field names can keep them small. */
internal object RecordCodec {
    /** Writes [record] as one JSON object. */
    fun write(generator: JsonGenerator, record: Stored) = when (record) {
        is LeaderRecord -> LeadershipRecordCodec.write(generator, record)
        is LevelRecord -> LeadershipRecordCodec.write(generator, record)
        is JobRecord -> JobRecordCodec.write(generator, record)
        is PageRecord -> JobRecordCodec.write(generator, record)
        is FinalRecord -> JobRecordCodec.write(generator, record)
        is FleetRecord -> AutoscalingRecordCodec.write(generator, record)
        is CatalogRecord -> AutoscalingRecordCodec.write(generator, record)
        is RightsHead, is RightsPart, is RightsApplied, is AuditSegment, is AuditSeal ->
            AccessRecordCodec.write(generator, record)
    }

    /**
     * Reads the value of [key], at which [parser] stands. Returns null for a kind of key that this version does not
     * know; throws [MalformedMessageException] for a value that can't be read.
     */
    fun read(key: String, parser: JsonParser): Stored? = when {
        key == Keys.LEADER -> LeadershipRecordCodec.readLeader(parser)
        key == Keys.FLEET || key.startsWith("${Keys.FLEET}/") -> AutoscalingRecordCodec.readFleet(parser)
        key == Keys.CATALOG || key.startsWith("${Keys.CATALOG}/") -> CloudCodec.readStoredCatalog(parser)
        key == Keys.LEVEL -> LeadershipRecordCodec.readLevel(parser)
        key.startsWith(Keys.JOBS) -> JobRecordCodec.readJob(parser)
        key.startsWith(Keys.PAGES) -> JobRecordCodec.readPage(parser)
        key.startsWith(Keys.FINALS) -> JobRecordCodec.readFinal(parser)
        else -> AccessRecordCodec.read(key, parser) ?: skip(parser)
    }

    /**
     * Skips a value of an unknown kind. It is not rejected, since the other values in the same answer must be readable.
     */
    private fun skip(parser: JsonParser): Stored? {
        parser.skipChildren()
        return null
    }
}
