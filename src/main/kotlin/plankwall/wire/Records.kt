package plankwall.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import plankwall.model.Catalog
import plankwall.model.GroupKey
import plankwall.model.JobFacts
import plankwall.model.JobSpec
import plankwall.model.JobStage
import java.util.BitSet

/** What the controllers keep in the state service. Every kind has its own key prefix, see [Keys]. */
sealed interface Stored

/** Who leads. The revision of this key is the epoch: token to the workers, guard of every write. */
data class LeaderRecord(val node: String, val incarnation: Long) : Stored

/**
 * A live job. Written by the node that accepted it; again when its user withdraws it. [owner]: who submitted it, where
 * callers prove who they are; what is to become of it when they lose the right to is in [owned].
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
 * [cancelOnRevoke]: by the rule that allowed it. [revokedBy]: the version of the rights that took the right away, or
 * 0.
 */
data class Ownership(val owner: String, val cancelOnRevoke: Boolean, val revokedBy: Long = 0)

data class StoredPlacement(val task: Int, val attempt: Long, val machine: String, val session: Long)

/**
 * The state of up to [JobRecord.pageSize] tasks of one job. Only the leader writes it. A page that outgrew a stored
 * value is divided: it then holds its first [partSize] tasks, and further keys ([Keys.part]) as many each. 0: not
 * divided.
 */
data class PageRecord(val done: BitSet, val placements: List<StoredPlacement>, val partSize: Int = 0) : Stored

/**
 * How a job ended, and when (0: not known). Kept for ever and apart from the live records. [facts]: only of owned jobs.
 */
data class FinalRecord(val stage: JobStage, val done: Int, val endedMs: Long = 0, val facts: JobFacts? = null) : Stored

data class StoredScaleOut(val request: String, val group: GroupKey, val count: Int)

data class StoredBootingMachine(val machine: String, val group: GroupKey, val rentedMs: Long)

/**
 * The rental loop's memory: what was asked for, what is on its way, what is being given back. [more]: how many further
 * keys hold the rest of it, written in the same transaction; they count only while the first says so.
 */
data class FleetRecord(
    val rentals: List<StoredScaleOut>,
    val arrivals: List<StoredBootingMachine>,
    val returning: List<String>,
    val more: Int = 0,
) : Stored

/** [more] as in [FleetRecord]. */
data class CatalogRecord(val catalog: Catalog, val more: Int = 0) : Stored

/** The lowest [PeerStatus.level] of all nodes, once all have shown theirs: none older can lead any more. */
data class LevelRecord(val level: Int) : Stored

object Keys {
    const val LEADER = "leader"
    const val FLEET = "fleet"
    const val CATALOG = "catalog"
    const val LEVEL = "level"
    const val JOBS = "j/"
    const val PAGES = "t/"
    const val FINALS = "f/"

    fun job(id: String) = "$JOBS$id"

    fun pages(id: String) = "$PAGES$id/"

    /** Zero-padded, so that the store's key order is the pages' order. */
    fun page(id: String, page: Int) = "$PAGES$id/${page.toString().padStart(6, '0')}"

    fun final(id: String) = "$FINALS$id"

    fun jobId(key: String): String = key.substringAfter('/').substringBefore('/')

    /** The number of part [part] of [page]; part 0 is the page itself. */
    fun part(page: Int, part: Int): Int = part * PART_STEP + page

    /** The page that [number] is a part of. */
    fun wholeOf(number: Int): Int = number % PART_STEP

    fun partOf(number: Int): Int = number / PART_STEP

    /** Where the rest of a value that outgrew its key is kept, [n] counting from 1. */
    fun more(key: String, n: Int) = "$key/$n"

    /** Beyond the number of any page: 100,000 tasks make 12,500 of the smallest. */
    private const val PART_STEP = 1_000_000

    fun pageNumber(key: String): Int? = key.substringAfterLast('/').toIntOrNull()
}

/** Stored values as compact JSON. The records are ours alone, so short names are used for size. */
internal object RecordCodec {
    /** The stored word for [JobStage.CANCELLED]. */
    private const val STORED_CANCELLED = "WITHDRAWN"

    fun write(g: JsonGenerator, record: Stored) = when (record) {
        is LeaderRecord -> g.obj {
            writeStringField("node", record.node)
            writeNumberField("inc", record.incarnation)
        }
        is JobRecord -> g.obj {
            writeFieldName("spec")
            obj { JobCodec.write(this, record.spec) }
            writeNumberField("at", record.submittedMs)
            if (record.cancelledMs > 0) writeNumberField("wd", record.cancelledMs)
            writeNumberField("page", record.pageSize)
            record.owned?.let {
                writeStringField("own", it.owner)
                if (it.cancelOnRevoke) writeBooleanField("ow", true)
                if (it.revokedBy > 0) writeNumberField("rv", it.revokedBy)
            }
        }
        is PageRecord -> g.obj {
            arr("d") {
                var from = record.done.nextSetBit(0)
                while (from >= 0) {
                    val to = record.done.nextClearBit(from) - 1
                    writeNumber(from)
                    writeNumber(to)
                    from = record.done.nextSetBit(to + 1)
                }
            }
            arr("p") {
                record.placements.forEach {
                    writeStartArray()
                    writeNumber(it.task)
                    writeNumber(it.attempt)
                    writeString(it.machine)
                    writeNumber(it.session)
                    writeEndArray()
                }
            }
            if (record.partSize > 0) writeNumberField("s", record.partSize)
        }
        is FinalRecord -> g.obj {
            writeStringField("stage", if (record.stage == JobStage.CANCELLED) STORED_CANCELLED else record.stage.name)
            writeNumberField("done", record.done)
            if (record.endedMs > 0) writeNumberField("at", record.endedMs)
            record.facts?.let { JobCodec.writeFacts(this, it) }
        }
        is LevelRecord -> g.obj { writeNumberField("level", record.level) }
        is FleetRecord -> g.obj {
            arr("rentals") {
                record.rentals.forEach {
                    writeStartArray()
                    writeString(it.request)
                    group(it.group)
                    writeNumber(it.count)
                    writeEndArray()
                }
            }
            arr("arrivals") {
                record.arrivals.groupBy { it.group to it.rentedMs }.forEach { (rental, arrivals) ->
                    writeStartArray()
                    group(rental.first)
                    writeNumber(rental.second)
                    names(arrivals.map { it.machine })
                    writeEndArray()
                }
            }
            arr("returning") { names(record.returning.sorted()) }
            if (record.more > 0) writeNumberField("more", record.more)
        }
        is CatalogRecord -> CloudCodec.writeCatalog(g, record.catalog, record.more)
        is RightsHead, is RightsPart, is RightsApplied, is AuditSegment, is AuditSeal -> AccessRecordCodec.write(
            g,
            record,
        )
    }

    private fun JsonGenerator.names(names: List<String>) = NameRuns.write(names) { first, following ->
        writeString(first)
        writeNumber(following)
    }

    private fun JsonGenerator.group(key: GroupKey) {
        writeString(key.type)
        writeString(key.zone)
        writeBoolean(key.spot)
    }

    /** Null for a key of a kind that this version does not know. */
    fun read(key: String, p: JsonParser): Stored? = when {
        key == Keys.LEADER -> leader(p)
        key == Keys.FLEET || key.startsWith("${Keys.FLEET}/") -> fleet(p)
        key == Keys.CATALOG || key.startsWith("${Keys.CATALOG}/") -> CloudCodec.readStoredCatalog(p)
        key == Keys.LEVEL -> level(p)
        key.startsWith(Keys.JOBS) -> job(p)
        key.startsWith(Keys.PAGES) -> page(p)
        key.startsWith(Keys.FINALS) -> final(p)
        else -> AccessRecordCodec.read(key, p) ?: run {
            // Read past, or the whole answer that it stands in could not be read: the first version fails on that.
            p.skipChildren()
            null
        }
    }

    private fun leader(p: JsonParser): LeaderRecord {
        var node = ""
        var incarnation = 0L
        p.fields { name ->
            when (name) {
                "node" -> node = text(name)
                "inc" -> incarnation = whole(name)
            }
        }
        return LeaderRecord(node, incarnation)
    }

    private fun job(p: JsonParser): JobRecord {
        var spec: JobSpec? = null
        var at = 0L
        var cancelled = 0L
        var pageSize = 0
        var owner: String? = null
        var cancelOnRevoke = false
        var revokedBy = 0L
        p.fields { name ->
            when (name) {
                "own" -> owner = text(name)
                "ow" -> cancelOnRevoke = flag(name)
                "rv" -> revokedBy = whole(name)
                "spec" -> spec = JobCodec.read(p)
                "at" -> at = whole(name)
                "wd" -> cancelled = whole(name)
                "page" -> pageSize = intValue
            }
        }
        if (pageSize <= 0) throw MalformedMessageException("job record without page size")
        val owned = owner?.let { Ownership(it, cancelOnRevoke, revokedBy) }
        return JobRecord(
            spec ?: throw MalformedMessageException("job record without spec"),
            at,
            cancelled,
            pageSize,
            owned,
        )
    }

    private fun page(p: JsonParser): PageRecord {
        val done = BitSet()
        var partSize = 0
        val placements = ArrayList<StoredPlacement>()
        p.fields { name ->
            when (name) {
                "d" -> elements {
                    val from = intValue
                    nextToken()
                    done.set(from, intValue + 1)
                }
                "p" -> elements {
                    nextToken()
                    val task = intValue
                    nextToken()
                    val attempt = longValue
                    nextToken()
                    val machine = text(name)
                    nextToken()
                    placements.add(StoredPlacement(task, attempt, machine, longValue))
                    nextToken()
                }
                "s" -> partSize = intValue
            }
        }
        return PageRecord(done, placements, partSize)
    }

    private fun final(p: JsonParser): FinalRecord {
        var stage = JobStage.DONE
        var done = 0
        var endedMs = 0L
        val facts = JobCodec.FactsReader()
        p.fields { name ->
            if (!facts.take(p, name)) {
                when (name) {
                    "stage" -> stage = if (text(name) == STORED_CANCELLED) JobStage.CANCELLED else JobStage.DONE
                    "done" -> done = intValue
                    "at" -> endedMs = whole(name)
                }
            }
        }
        return FinalRecord(stage, done, endedMs, facts.facts())
    }

    private fun level(p: JsonParser): LevelRecord {
        var level = 0
        p.fields { name -> if (name == "level") level = intValue }
        return LevelRecord(level)
    }

    private fun JsonParser.run(name: String): List<String> {
        val first = text(name)
        nextToken()
        return NameRuns.read(first, intValue)
    }

    private fun JsonParser.nextGroup(): GroupKey {
        nextToken()
        val type = text("type")
        nextToken()
        val zone = text("zone")
        nextToken()
        return GroupKey(type, zone, flag("spot"))
    }

    private fun fleet(p: JsonParser): FleetRecord {
        val rentals = ArrayList<StoredScaleOut>()
        val arrivals = ArrayList<StoredBootingMachine>()
        val returning = ArrayList<String>()
        var more = 0
        p.fields { name ->
            when (name) {
                "rentals" -> elements {
                    nextToken()
                    val request = text(name)
                    val group = nextGroup()
                    nextToken()
                    rentals.add(StoredScaleOut(request, group, intValue))
                    nextToken()
                }
                "arrivals" -> elements {
                    val group = nextGroup()
                    nextToken()
                    val rentedMs = longValue
                    while (nextToken() !=
                        JsonToken.END_ARRAY
                    ) {
                        run(name).forEach { arrivals.add(StoredBootingMachine(it, group, rentedMs)) }
                    }
                }
                "returning" -> elements { returning.addAll(run(name)) }
                "more" -> more = intValue
            }
        }
        return FleetRecord(rentals, arrivals, returning, more)
    }
}
