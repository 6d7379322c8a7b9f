package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import plankwall.model.JobFacts
import plankwall.model.JobSpec
import plankwall.model.JobStage
import java.util.BitSet

/**
 * A live job. Written by the node that accepted it, and again when it is cancelled. Times are wall-clock; [cancelledMs]
 * is 0 while the job is not cancelled. [owned]: who submitted it, where callers are authenticated.
 */
data class JobRecord(
    val spec: JobSpec,
    val submittedMs: Long,
    val cancelledMs: Long,
    val pageSize: Int,
    val owned: Ownership? = null,
) : Stored {
    val owner: String? get() = owned?.owner
}

/**
 * The principal that submitted a job. [cancelOnRevoke]: whether the job is cancelled when its owner loses the right to
 * it, by the rule that allowed it. [revokedBy]: the policy version that revoked the right, or 0.
 */
data class Ownership(val owner: String, val cancelOnRevoke: Boolean, val revokedBy: Long = 0)

/** The [attempt] of one task on [machine], whose agent had the epoch [session]. */
data class StoredPlacement(val task: Int, val attempt: Long, val machine: String, val session: Long)

/**
 * The state of up to [JobRecord.pageSize] tasks of one job. Only the leader writes it. A page that is too large for a
 * stored value is divided: it then holds its first [partSize] tasks, and further keys ([Keys.part]) as many each. 0:
 * not divided.
 */
data class PageRecord(val done: BitSet, val placements: List<StoredPlacement>, val partSize: Int = 0) : Stored

/**
 * How a job ended, and when (wall-clock; 0: not known). Kept for ever and apart from the live records. [facts]: only of
 * owned jobs.
 */
data class FinalRecord(val stage: JobStage, val done: Int, val endedMs: Long = 0, val facts: JobFacts? = null) : Stored

/** The stored form of [JobRecord], [PageRecord] and [FinalRecord]. */
internal object JobRecordCodec {
    /** The stored word for [JobStage.CANCELLED]. */
    private const val STORED_CANCELLED = "WITHDRAWN"

    fun write(generator: JsonGenerator, record: JobRecord) = generator.obj {
        writeFieldName("spec")
        obj { JobCodec.write(this, record.spec) }
        writeNumberField("at", record.submittedMs)
        if (record.cancelledMs > 0) writeNumberField("wd", record.cancelledMs)
        writeNumberField("page", record.pageSize)
        record.owned?.let { ownership ->
            writeStringField("own", ownership.owner)
            if (ownership.cancelOnRevoke) writeBooleanField("ow", true)
            if (ownership.revokedBy > 0) writeNumberField("rv", ownership.revokedBy)
        }
    }

    fun readJob(parser: JsonParser): JobRecord {
        var spec: JobSpec? = null
        var submittedMs = 0L
        var cancelledMs = 0L
        var pageSize = 0
        var owner: String? = null
        var cancelOnRevoke = false
        var revokedBy = 0L
        parser.fields { name ->
            when (name) {
                "own" -> owner = text(name)
                "ow" -> cancelOnRevoke = flag(name)
                "rv" -> revokedBy = whole(name)
                "spec" -> spec = JobCodec.read(parser)
                "at" -> submittedMs = whole(name)
                "wd" -> cancelledMs = whole(name)
                "page" -> pageSize = intValue
            }
        }
        if (pageSize <= 0) throw MalformedMessageException("job record without page size")
        return JobRecord(
            spec ?: throw MalformedMessageException("job record without spec"),
            submittedMs,
            cancelledMs,
            pageSize,
            owner?.let { Ownership(it, cancelOnRevoke, revokedBy) },
        )
    }

    fun write(generator: JsonGenerator, record: PageRecord) = generator.obj {
        arr("d") { doneRanges(record.done) }
        arr("p") { record.placements.forEach { placement(it) } }
        if (record.partSize > 0) writeNumberField("s", record.partSize)
    }

    /** Finished tasks as pairs of the first and the last task of every contiguous range. */
    private fun JsonGenerator.doneRanges(done: BitSet) {
        var from = done.nextSetBit(0)
        while (from >= 0) {
            val to = done.nextClearBit(from) - 1
            writeNumber(from)
            writeNumber(to)
            from = done.nextSetBit(to + 1)
        }
    }

    private fun JsonGenerator.placement(placement: StoredPlacement) {
        writeStartArray()
        writeNumber(placement.task)
        writeNumber(placement.attempt)
        writeString(placement.machine)
        writeNumber(placement.session)
        writeEndArray()
    }

    fun readPage(parser: JsonParser): PageRecord {
        val done = BitSet()
        var partSize = 0
        val placements = ArrayList<StoredPlacement>()
        parser.fields { name ->
            when (name) {
                "d" -> elements {
                    val from = intValue
                    nextToken()
                    done.set(from, intValue + 1)
                }
                "p" -> elements { placements.add(readPlacement(name)) }
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
        val machine = text(field)
        nextToken()
        return StoredPlacement(task, attempt, machine, longValue).also { nextToken() }
    }

    fun write(generator: JsonGenerator, record: FinalRecord) = generator.obj {
        writeStringField("stage", if (record.stage == JobStage.CANCELLED) STORED_CANCELLED else record.stage.name)
        writeNumberField("done", record.done)
        if (record.endedMs > 0) writeNumberField("at", record.endedMs)
        record.facts?.let { JobFactsCodec.write(this, it) }
    }

    fun readFinal(parser: JsonParser): FinalRecord {
        var stage = JobStage.DONE
        var done = 0
        var endedMs = 0L
        val facts = JobFactsCodec.Reader()
        parser.fields { name ->
            if (!facts.readField(parser, name)) {
                when (name) {
                    "stage" -> stage = if (text(name) == STORED_CANCELLED) JobStage.CANCELLED else JobStage.DONE
                    "done" -> done = intValue
                    "at" -> endedMs = whole(name)
                }
            }
        }
        return FinalRecord(stage, done, endedMs, facts.facts())
    }
}
