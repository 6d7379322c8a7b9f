package plankwall.cli.access

import picocli.CommandLine.Command

/** Prints a copy of the whole audit log, which [VerifyAuditLog] and [FindInAuditLog] read. */
@Command(
    name = "export",
    description = ["Export the whole audit log to standard output, as JSON lines that `verify` and `find` read."],
    mixinStandardHelpOptions = true,
)
class ExportAuditLog : AuditLogCommand() {
    override fun call(): Int = runAndReportFailure {
        val reader = AuditLogReader(calls)
        val checkpoints = reader.readCheckpoints()
        reader.listNodes(checkpoints, nodes).forEach { node ->
            reader.readSegments(node).forEach { (number, segment) ->
                println(AuditLogFile.formatSegment(node, number, segment))
            }
        }
        // The checkpoints are printed last but were read first, so the segments above hold all entries that they cover.
        checkpoints.forEach { (number, jws) -> println(AuditLogFile.formatCheckpoint(number, jws)) }
        0
    }
}
