package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import plankwall.audit.AuditLines
import plankwall.cli.settings.InvalidSettingsException

/** Prints access decisions as the nodes write them to the audit log. */
@Command(
    name = "follow",
    description = ["Print decisions as they are made, until interrupted."],
    mixinStandardHelpOptions = true,
)
class FollowAuditLog : AuditLogCommand() {
    @Mixin
    lateinit var filter: AuditLogFilter

    @Option(names = ["--from-start"], description = ["Print all earlier decisions first."])
    var fromStart = false

    override fun call(): Int = runAndReportFailure {
        val reader = AuditLogReader(calls)
        val nodeNames = reader.listNodes(reader.readCheckpoints(), nodes)
        if (nodeNames.isEmpty()) throw InvalidSettingsException("no checkpoint lists a node yet; use --nodes")
        follow(reader, nodeNames.associateWithTo(LinkedHashMap()) { Position(segmentNumber = 0, entriesRead = 0) })
    }

    /** Prints new entries of all nodes in [positions] until the process is interrupted or [reader] fails. */
    private fun follow(reader: AuditLogReader, positions: MutableMap<String, Position>): Nothing {
        var printEntries = fromStart
        while (true) {
            positions.replaceAll { node, position -> advance(reader, node, position, printEntries) }
            printEntries = true
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    /** Reads the entries of [node] from [start] on, prints them if [printEntries], and returns the new position. */
    private fun advance(reader: AuditLogReader, node: String, start: Position, printEntries: Boolean): Position {
        var position = start
        while (true) {
            val segment = reader.readSegment(node, position.segmentNumber)
                ?: return position.copy(segmentNumber = maxOf(0, position.segmentNumber - 1))
            val entries = readEntries(segment.lines.drop(position.entriesRead))
            if (printEntries) entries.filter { filter.matches(it.entry) }.forEach { println(AuditLines.export(it)) }
            position = position.copy(entriesRead = segment.lines.size)
            // Reading goes on with the first entry of the next segment, if there is one.
            if (reader.readSegment(node, position.segmentNumber + 1) == null) return position
            position = Position(position.segmentNumber + 1, entriesRead = 0)
        }
    }

    /**
     * The position up to which a node's audit log was read: the first [entriesRead] entries of the segment
     * [segmentNumber].
     */
    private data class Position(val segmentNumber: Long, val entriesRead: Int)

    private companion object {
        const val POLL_INTERVAL_MS = 2_000L
    }
}
