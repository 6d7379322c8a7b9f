package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import plankwall.model.JobFacts
import plankwall.model.JobSpec
import plankwall.model.JobStage
import java.util.BitSet

/**
 * The record of a job that has not ended. It is written by the node that accepted the job, and again when the job is
 * cancelled. Times are wall-clock times.
 *
 * @property cancelledMs the time of the cancellation; 0 while the job is not cancelled
 * @property pageSize the number of tasks in each [PageRecord] of the job; the last one may hold fewer
 * @property ownership who submitted the job; null where callers are not authenticated
 */
data class JobRecord(
    val spec: JobSpec,
    val submittedMs: Long,
    val cancelledMs: Long,
    val pageSize: Int,
    val ownership: Ownership? = null,
) : Stored {
    /** The principal that submitted the job; null where callers are not authenticated. */
    val owner: String? get() = ownership?.owner
}

/**
 * The principal that submitted a job.
 *
 * @property cancelOnRevoke whether the rule that allowed the submission has the job cancelled when its owner loses the
 *   right to it
 * @property revokedBy the policy version that revoked the owner's right; 0 if none has
 */
data class Ownership(val owner: String, val cancelOnRevoke: Boolean, val revokedBy: Long = 0)

/** The assignment of one attempt of a task to [machine]. [session]: the agent epoch of the machine at that time. */
data class StoredPlacement(val task: Int, val attempt: Long, val machine: String, val session: Long)

/**
 * The state of up to [JobRecord.pageSize] tasks of one job. Only the leader writes it. A page that is too large for one
 * stored value is split: its own key then holds the first [partSize] tasks, and each further key ([Keys.part]) holds up
 * to as many.
 *
 * @property done the numbers of the tasks that are done
 * @property placements the assignments of the tasks that run
 * @property partSize the number of tasks of each part; 0 if the page is not split
 */
data class PageRecord(val done: BitSet, val placements: List<StoredPlacement>, val partSize: Int = 0) : Stored

/**
 * The record of a job that has ended. It is kept for ever, under another prefix than the records of live jobs.
 *
 * @property done the number of tasks that were done
 * @property endedMs the wall-clock time of the end; 0 if it is not known
 * @property facts what the policy may ask about the job; null for a job without an owner
 */
data class FinalRecord(val stage: JobStage, val done: Int, val endedMs: Long = 0, val facts: JobFacts? = null) : Stored

/** Codec of the stored form of [JobRecord], [PageRecord] and [FinalRecord]. */
internal object JobRecordCodec {
    /** The stored word for [JobStage.CANCELLED]. */
    private const val STORED_CANCELLED = "WITHDRAWN"

    /** Writes [record] as one JSON object. */
    fun write(generator: JsonGenerator, record: JobRecord) = generator.writeJsonObject {
        writeFieldName("spec")
        writeJsonObject { JobCodec.write(this, record.spec) }
        writeNumberField("at", record.submittedMs)
        if (record.cancelledMs > 0) writeNumberField("wd", record.cancelledMs)
        writeNumberField("page", record.pageSize)
        record.ownership?.let { ownership ->
            writeStringField("own", ownership.owner)
            if (ownership.cancelOnRevoke) writeBooleanField("ow", true)
            if (ownership.revokedBy > 0) writeNumberField("rv", ownership.revokedBy)
        }
    }

    /** Reads what [write] writes for a [JobRecord]; throws [MalformedMessageException]. */
    fun readJob(parser: JsonParser): JobRecord {
        var spec: JobSpec? = null
        var submittedMs = 0L
        var cancelledMs = 0L
        var pageSize = 0
        var owner: String? = null
        var cancelOnRevoke = false
        var revokedBy = 0L
        parser.forEachField { name ->
            when (name) {
                "own" -> owner = readString(name)
                "ow" -> cancelOnRevoke = readBoolean(name)
                "rv" -> revokedBy = readWholeNumber(name)
                "spec" -> spec = JobCodec.read(parser)
                "at" -> submittedMs = readWholeNumber(name)
                "wd" -> cancelledMs = readWholeNumber(name)
                "page" -> pageSize = intValue
            }
        }
        if (pageSize <= 0) throw MalformedMessageException("job record without a page size")
        return JobRecord(
            spec ?: throw MalformedMessageException("job record without a job description"),
            submittedMs,
            cancelledMs,
            pageSize,
            owner?.let { Ownership(it, cancelOnRevoke, revokedBy) },
        )
    }

    /** Writes [record] as one JSON object. */
    fun write(generator: JsonGenerator, record: PageRecord) = generator.writeJsonObject {
        writeJsonArray("d") { writeDoneRanges(record.done) }
        writeJsonArray("p") { record.placements.forEach { writePlacement(it) } }
        if (record.partSize > 0) writeNumberField("s", record.partSize)
    }

    /** Writes the tasks that are done as pairs: the first and the last task of each contiguous range. */
    private fun JsonGenerator.writeDoneRanges(done: BitSet) {
        var from = done.nextSetBit(0)
        while (from >= 0) {
            val to = done.nextClearBit(from) - 1
            writeNumber(from)
            writeNumber(to)
            from = done.nextSetBit(to + 1)
        }
    }

    private fun JsonGenerator.writePlacement(placement: StoredPlacement) {
        writeStartArray()
        writeNumber(placement.task)
        writeNumber(placement.attempt)
        writeString(placement.machine)
        writeNumber(placement.session)
        writeEndArray()
    }

    /** Reads what [write] writes for a [PageRecord]. */
    fun readPage(parser: JsonParser): PageRecord {
        val done = BitSet()
        var partSize = 0
        val placements = ArrayList<StoredPlacement>()
        parser.forEachField { name ->
            when (name) {
                "d" -> forEachElement {
                    val from = intValue
                    nextToken()
                    done.set(from, intValue + 1)
                }
                "p" -> forEachElement { placements.add(readPlacement(name)) }
                "s" -> partSize = intValue
            }
        }
        return PageRecord(done, placements, partSize)
    }

    private fun JsonParser.readPlacement(field: String): StoredPlacement {
        nextToken()
        val task = intValue
        nextToken()
        val attempt = longValue
        nextToken()
        val machine = readString(field)
        nextToken()
        return StoredPlacement(task, attempt, machine, longValue).also { nextToken() }
    }

    /** Writes [record] as one JSON object. */
    fun write(generator: JsonGenerator, record: FinalRecord) = generator.writeJsonObject {
        writeStringField("stage", if (record.stage == JobStage.CANCELLED) STORED_CANCELLED else record.stage.name)
        writeNumberField("done", record.done)
        if (record.endedMs > 0) writeNumberField("at", record.endedMs)
        record.facts?.let { JobFactsCodec.write(this, it) }
    }

    /** Reads what [write] writes for a [FinalRecord]. */
    fun readFinal(parser: JsonParser): FinalRecord {
        var stage = JobStage.DONE
        var done = 0
        var endedMs = 0L
        val factsReader = JobFactsCodec.Reader()
        parser.forEachField { name ->
            if (!factsReader.readField(parser, name)) {
                when (name) {
                    "stage" -> stage = if (readString(name) == STORED_CANCELLED) JobStage.CANCELLED else JobStage.DONE
                    "done" -> done = intValue
                    "at" -> endedMs = readWholeNumber(name)
                }
            }
        }
        return FinalRecord(stage, done, endedMs, factsReader.buildFacts())
    }
}
