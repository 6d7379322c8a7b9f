package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser

/** A value that the controllers keep in the state service. Every kind has its own key prefix, see [Keys]. */
sealed interface Stored

/** Stored values as compact JSON. No other program reads them, so short field names are used for size. */
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
     * Reads the value of [key] that [parser] stands on. Null for a key of a kind that this version does not know;
     * throws [MalformedMessageException] for a value that can't be read.
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

    /** The whole answer that holds an unknown value must stay readable, so the value is skipped, not refused. */
    private fun skip(parser: JsonParser): Stored? {
        parser.skipChildren()
        return null
    }
}
