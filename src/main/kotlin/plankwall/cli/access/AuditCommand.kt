package plankwall.cli.access

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import plankwall.audit.AuditEntry
import plankwall.audit.AuditLines
import plankwall.audit.AuditLogCopy
import plankwall.audit.AuditLogVerifier
import plankwall.audit.MalformedAuditLineException
import plankwall.audit.Seals
import plankwall.cli.remote.NodeCalls
import plankwall.cli.settings.InvalidSettingsException
import plankwall.wire.AdminCodec
import plankwall.wire.AuditSegment
import plankwall.wire.MalformedMessageException
import java.io.File
import java.io.IOException
import java.util.concurrent.Callable

@Command(
    name = "audit",
    description = ["Copy, verify and search the trail of decisions."],
    mixinStandardHelpOptions = true,
    subcommands = [ExportAuditLog::class, VerifyAuditLog::class, FindInAuditLog::class, FollowAuditLog::class],
)
class AuditCommand : Runnable {
    override fun run() = picocli.CommandLine.usage(this, System.out)
}

/** Reads a trail piece by piece from a node. */
internal class AuditLogReader(private val calls: NodeCalls) {
    class StreamClosedException(reason: String) : Exception(reason)

    private fun piece(path: String): ByteArray? {
        repeat(TRIES) {
            val answer = calls.ask("GET", path) ?: throw StreamClosedException("no answer")
            when {
                answer.good -> return answer.body.encodeToByteArray()
                answer.status == 404 -> return null
                answer.status != 429 && answer.status != 503 -> throw StreamClosedException(
                    "${answer.status} ${answer.body}",
                )
                else -> Thread.sleep(PAUSE_MS)
            }
        }
        throw StreamClosedException("the service is too busy")
    }

    fun seal(number: Long): String? = piece("/api/seals/$number")?.let { AdminCodec.readSeal(it).jws }

    fun segment(node: String, number: Long): AuditSegment? = piece("/api/trail/$node/$number")?.let {
        AdminCodec.readSegment(it)
    }

    fun seals(): Map<Long, String> = generateSequence(0L) { it + 1 }.map { it to seal(it) }.takeWhile {
        it.second !=
            null
    }
        .associate { (n, jws) -> n to jws.orEmpty() }

    fun chain(node: String): Map<Long, AuditSegment> = LinkedHashMap<Long, AuditSegment>().also { found ->
        var n = 0L
        while (true) found[n] = segment(node, n++) ?: break
    }

    /** The nodes of the last seal, and [more]. */
    fun nodes(seals: Map<Long, String>, more: List<String>): List<String> =
        (seals.values.lastOrNull()?.let { Seals.read(it).heads.keys }.orEmpty() + more).distinct()

    private companion object {
        const val TRIES = 20
        const val PAUSE_MS = 500L
    }
}

/** A copy of a trail as JSON lines: one piece each, as it is stored. */
internal object AuditLogFile {
    private val json = ObjectMapper()

    fun segment(node: String, number: Long, s: AuditSegment): String = """{"node":${json.writeValueAsString(
        node,
    )},"segment":$number,"value":${AdminCodec.segment(s).decodeToString()}}"""

    fun seal(number: Long, jws: String): String = """{"seal":$number,"jws":"$jws"}"""

    fun read(file: File): AuditLogCopy {
        val chains = LinkedHashMap<String, LinkedHashMap<Long, AuditSegment>>()
        val seals = LinkedHashMap<Long, String>()
        try {
            file.forEachLine { line ->
                val o: JsonNode = json.readTree(line)
                if (o.has("seal")) {
                    seals[o.get("seal").asLong()] = o.path("jws").asText()
                } else {
                    chains.getOrPut(o.path("node").asText()) { LinkedHashMap() }[o.path("segment").asLong()] =
                        AdminCodec.readSegment(o.path("value").toString().encodeToByteArray())
                }
            }
        } catch (e: IOException) {
            throw InvalidSettingsException("$file: can't be read: ${e.javaClass.simpleName}")
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException("$file: not a copy of a trail: ${e.message}")
        }
        return AuditLogCopy(chains, seals)
    }
}

abstract class AuditLogCommand : Callable<Int> {
    @Mixin
    protected lateinit var calls: NodeCalls

    @Option(names = ["--nodes"], split = ",", paramLabel = "NAME", description = ["Nodes that no seal names yet."])
    protected var nodes: List<String> = emptyList()

    protected fun stopping(body: () -> Int): Int = try {
        body()
    } catch (e: AuditLogReader.StreamClosedException) {
        System.err.println("plankwall: the trail could not be read whole: ${e.message}")
        1
    }
}

@Command(
    name = "export",
    description = ["Copy the whole trail to standard output, as JSON lines that `verify` and `find` read."],
    mixinStandardHelpOptions = true,
)
class ExportAuditLog : AuditLogCommand() {
    override fun call(): Int = stopping {
        val reader = AuditLogReader(calls)
        val seals = reader.seals()
        reader.nodes(seals, nodes).forEach { node ->
            reader.chain(node).forEach { (n, s) -> println(AuditLogFile.segment(node, n, s)) }
        }
        // The seals last, and as they were before the chains were read: no chain can be shorter than they say.
        seals.forEach { (n, jws) -> println(AuditLogFile.seal(n, jws)) }
        0
    }
}

@Command(
    name = "verify",
    description = ["Check a copy of the trail; name the first broken link of each chain."],
    mixinStandardHelpOptions = true,
)
class VerifyAuditLog : Callable<Int> {
    @Parameters(paramLabel = "COPY", description = ["What `export` wrote."])
    lateinit var copy: File

    @Option(
        names = ["--rights"],
        required = true,
        paramLabel = "FILE",
        description = ["A text of rights that you trust, with the nodes' keys."],
    )
    lateinit var rights: File

    @Option(
        names = ["--checkpoint"],
        paramLabel = "FILE",
        description = ["A seal that you kept: the trail must still hold what it says."],
    )
    var checkpoints: List<File> = emptyList()

    override fun call(): Int {
        val policy = readRights(rights)
        val kept = checkpoints.map { f ->
            if (f.canRead()) f.readText().trim() else throw InvalidSettingsException("$f: can't be read")
        }
        val auditLog = AuditLogFile.read(copy)
        if (auditLog.chains.isEmpty() &&
            auditLog.seals.isEmpty()
        ) {
            throw InvalidSettingsException("$copy: holds no trail: there is nothing to verify")
        }
        val outcome = AuditLogVerifier(policy::publicKey).verify(auditLog, kept)
        outcome.broken.forEach { println(it) }
        println(
            "${outcome.entries} entries hold together, sealed: ${outcome.sealed.entries.joinToString(", ") {
                "${it.key} up to ${it.value - 1}"
            }.ifEmpty { "none" }}",
        )
        println(if (outcome.broken.isEmpty()) "nothing is broken" else "${outcome.broken.size} broken")
        return if (outcome.broken.isEmpty()) 0 else 1
    }
}

class AuditLogFilter {
    @Option(names = ["--who"], description = ["Decisions about this principal."])
    var who: String? = null

    @Option(names = ["--job"], description = ["Decisions about this job, or what else was acted on."])
    var job: String? = null

    @Option(
        names = ["--action"],
        description = ["submit, resubmit, show, withdraw, administer, audit, enter, revoke or shed."],
    )
    var action: String? = null

    @Option(names = ["--denied"], description = ["Only what was denied."])
    var denied = false

    fun takes(e: AuditEntry): Boolean = (who == null || e.who == who) &&
        (job == null || e.subject == job) &&
        (action == null || e.action == action) &&
        !(denied && e.allowed)
}

@Command(
    name = "find",
    description = ["Search a copy of the trail; decisions come out as JSON lines, oldest first."],
    mixinStandardHelpOptions = true,
)
class FindInAuditLog : Callable<Int> {
    @Parameters(paramLabel = "COPY", description = ["What `export` wrote."])
    lateinit var copy: File

    @Mixin
    lateinit var filter: AuditLogFilter

    override fun call(): Int {
        val lines = AuditLogFile.read(copy).chains.values.flatMap { it.values }.flatMap { it.lines }
        lines.mapNotNull {
            readable(it)
        }.filter { filter.takes(it.entry) }.sortedBy { it.entry.atMs }.forEach { println(AuditLines.export(it)) }
        return 0
    }
}

private fun readable(line: String) = try {
    AuditLines.read(line)
} catch (e: MalformedAuditLineException) {
    System.err.println("plankwall: an entry can't be read: ${e.message}")
    null
}

@Command(
    name = "follow",
    description = ["Print decisions as they are made, until interrupted."],
    mixinStandardHelpOptions = true,
)
class FollowAuditLog : AuditLogCommand() {
    @Mixin
    lateinit var filter: AuditLogFilter

    @Option(names = ["--from-start"], description = ["All that was decided so far first."])
    var fromStart = false

    override fun call(): Int = stopping {
        val reader = AuditLogReader(calls)
        val names = reader.nodes(reader.seals(), nodes)
        if (names.isEmpty()) throw InvalidSettingsException("no seal names a node yet: name them by --nodes")
        val at = names.associateWithTo(HashMap()) { 0L to 0L }
        var quiet = !fromStart
        while (true) {
            for (node in names) at[node] = advance(reader, node, at.getValue(node), quiet)
            quiet = false
            Thread.sleep(POLL_MS)
        }
        @Suppress("UNREACHABLE_CODE")
        0
    }

    /** From (segment, entries shown of it) as far as there is. */
    private fun advance(
        reader: AuditLogReader,
        node: String,
        from: Pair<Long, Long>,
        quiet: Boolean,
    ): Pair<Long, Long> {
        var (segment, shown) = from
        while (true) {
            val s = reader.segment(node, segment) ?: return maxOf(0, segment - 1) to shown
            s.lines.drop(shown.toInt()).mapNotNull {
                readable(it)
            }.filter { !quiet && filter.takes(it.entry) }.forEach { println(AuditLines.export(it)) }
            shown = s.lines.size.toLong()
            // The next segment, if there is one, begins anew.
            if (reader.segment(node, segment + 1) == null) return segment to shown
            segment++
            shown = 0
        }
    }

    private companion object {
        const val POLL_MS = 2_000L
    }
}
