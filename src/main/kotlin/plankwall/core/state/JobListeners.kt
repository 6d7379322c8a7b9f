package plankwall.core.state

import plankwall.model.JobStage
import plankwall.wire.JobRecord

/** Takes a job's record as it was read from the store. */
internal fun interface JobRecordListener {
    /** [version] is the store's version of the record of the job [id]. */
    fun onJobRecord(id: String, record: JobRecord, version: Long)
}

/** Takes how a job ended, once its final record is stored. */
internal fun interface JobEndListener {
    /** [job] ended as [stage] at [endedMs], in milliseconds of the time of day. */
    fun onJobEnded(job: Job, stage: JobStage, endedMs: Long)
}
