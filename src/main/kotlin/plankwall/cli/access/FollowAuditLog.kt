package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import plankwall.audit.AuditLines
import plankwall.cli.settings.InvalidSettingsException

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

    override fun call(): Int = reportingFailure {
        val reader = AuditLogReader(calls)
        val names = reader.nodes(reader.seals(), nodes)
        if (names.isEmpty()) throw InvalidSettingsException("no seal names a node yet: name them by --nodes")
        follow(reader, names.associateWithTo(LinkedHashMap()) { Position(segment = 0, entries = 0) })
    }

    /** Until the process is interrupted or [reader] fails. */
    private fun follow(reader: AuditLogReader, positions: MutableMap<String, Position>): Nothing {
        var print = fromStart
        while (true) {
            positions.replaceAll { node, position -> advance(reader, node, position, print) }
            print = true
            Thread.sleep(POLL_MS)
        }
    }

    /** Reads on from [from] as far as there is. */
    private fun advance(reader: AuditLogReader, node: String, from: Position, print: Boolean): Position {
        var position = from
        while (true) {
            val segment = reader.segment(node, position.segment)
                ?: return position.copy(segment = maxOf(0, position.segment - 1))
            val entries = readEntries(segment.lines.drop(position.entries))
            if (print) entries.filter { filter.matches(it.entry) }.forEach { println(AuditLines.export(it)) }
            position = position.copy(entries = segment.lines.size)
            // The next segment, if there is one, begins with its first entry.
            if (reader.segment(node, position.segment + 1) == null) return position
            position = Position(position.segment + 1, entries = 0)
        }
    }

    /** How far a node's audit log was read: [entries] of the segment numbered [segment]. */
    private data class Position(val segment: Long, val entries: Int)

    private companion object {
        const val POLL_MS = 2_000L
    }
}
