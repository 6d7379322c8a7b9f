package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Parameters
import plankwall.audit.AuditLines
import plankwall.audit.MalformedAuditLineException
import java.io.File
import java.util.concurrent.Callable

/** Searches a copy of the audit log that [ExportAuditLog] made. */
@Command(
    name = "find",
    description = ["Search a copy of the audit log; prints decisions as JSON lines, oldest first."],
    mixinStandardHelpOptions = true,
)
class FindInAuditLog : Callable<Int> {
    @Parameters(paramLabel = "COPY", description = ["A file that `export` wrote."])
    lateinit var copy: File

    @Mixin
    lateinit var filter: AuditLogFilter

    override fun call(): Int {
        val lines = AuditLogFile.read(copy).chains.values.flatMap { it.values }.flatMap { it.lines }
        readEntries(lines).filter { filter.matches(it.entry) }.sortedBy { it.entry.atMs }
            .forEach { println(AuditLines.export(it)) }
        return 0
    }
}

/** Returns the entries in [lines]. Entries that can't be read are reported on standard error and left out. */
internal fun readEntries(lines: List<String>) = lines.mapNotNull { line ->
    try {
        AuditLines.read(line)
    } catch (e: MalformedAuditLineException) {
        System.err.println("plankwall: an audit log entry can't be read: ${e.message}")
        null
    }
}
