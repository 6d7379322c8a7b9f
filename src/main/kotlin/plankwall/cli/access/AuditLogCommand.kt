package plankwall.cli.access

import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import plankwall.cli.remote.NodeCalls
import java.util.concurrent.Callable

/** What the commands share that read the audit log from a node. */
abstract class AuditLogCommand : Callable<Int> {
    @Mixin
    protected lateinit var calls: NodeCalls

    @Option(names = ["--nodes"], split = ",", paramLabel = "NAME", description = ["Nodes that no seal names yet."])
    protected var nodes: List<String> = emptyList()

    /** Runs [body]; 1, with a line that says why, if the audit log could not be read to its end. */
    protected fun reportingFailure(body: () -> Int): Int = try {
        body()
    } catch (e: TransferFailedException) {
        System.err.println("plankwall: the trail could not be read whole: ${e.message}")
        1
    }
}
