package plankwall.core.state

import plankwall.model.JobStage
import plankwall.wire.JobRecord

/** Receives each job record that is read from the store. */
internal fun interface JobRecordListener {
    /** Handles the [record] of the job [id], which has this [version] in the store. */
    fun onJobRecord(id: String, record: JobRecord, version: Long)
}

/** A listener that is notified of the end of each job once its final record is stored. */
internal fun interface JobEndListener {
    /** Handles the end of [job] in [stage] at [endedMs], in milliseconds of wall-clock time; 0 if that is not known. */
    fun onJobEnded(job: Job, stage: JobStage, endedMs: Long)
}
