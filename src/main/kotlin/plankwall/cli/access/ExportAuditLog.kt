package plankwall.cli.access

import picocli.CommandLine.Command

@Command(
    name = "export",
    description = ["Copy the whole trail to standard output, as JSON lines that `verify` and `find` read."],
    mixinStandardHelpOptions = true,
)
class ExportAuditLog : AuditLogCommand() {
    override fun call(): Int = reportingFailure {
        val reader = AuditLogReader(calls)
        val seals = reader.seals()
        reader.nodes(seals, nodes).forEach { node ->
            reader.chain(node).forEach { (number, segment) ->
                println(AuditLogFile.segment(node, number, segment))
            }
        }
        // The checkpoints last, and as they were before the chains were read: no chain can be shorter than they say.
        seals.forEach { (number, jws) -> println(AuditLogFile.seal(number, jws)) }
        0
    }
}
