package plankwall.cli.access

import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import plankwall.cli.remote.NodeCalls
import java.util.concurrent.Callable

/** The base of the commands that read the audit log from a node. */
abstract class AuditLogCommand : Callable<Int> {
    @Mixin
    protected lateinit var calls: NodeCalls

    @Option(
        names = ["--nodes"],
        split = ",",
        paramLabel = "NAME",
        description = ["Nodes that no checkpoint lists yet."],
    )
    protected var nodes: List<String> = emptyList()

    /** Runs [readAuditLog] and returns its exit code; 1, with the reason on standard error, if a transfer fails. */
    protected fun runAndReportFailure(readAuditLog: () -> Int): Int = try {
        readAuditLog()
    } catch (e: TransferFailedException) {
        System.err.println("plankwall: the audit log could not be read completely: ${e.message}")
        1
    }
}
