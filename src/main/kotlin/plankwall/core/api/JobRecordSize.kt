package plankwall.core.api

import plankwall.core.statemachine.Context
import plankwall.wire.JobRecord
import plankwall.wire.StateCodec

/** The limit that the state service sets on the size of a job's record. */
internal class JobRecordSize(ctx: Context) {
    private val maxBytes = (ctx.settings.stateTight.valueKb * 1024).toInt()

    /** Whether [record] can be stored. */
    fun fits(record: JobRecord): Boolean = StateCodec.sizeOf(record) <= maxBytes
}
