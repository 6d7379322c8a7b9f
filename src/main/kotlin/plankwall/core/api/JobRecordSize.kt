package plankwall.core.api

import plankwall.core.statemachine.Context
import plankwall.wire.JobRecord
import plankwall.wire.StateCodec

/**
 * Checks the size of job records against the state service's limit for one value: the limit in force or the announced
 * one, whichever is lower.
 */
internal class JobRecordSize(ctx: Context) {
    private val maxBytes = (ctx.settings.strictestStateLimits.valueKb * 1024).toInt()

    /** Whether [record] is small enough to be stored. */
    fun fits(record: JobRecord): Boolean = StateCodec.sizeOf(record) <= maxBytes
}
