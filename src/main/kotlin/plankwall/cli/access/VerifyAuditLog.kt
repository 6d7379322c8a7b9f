package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import plankwall.audit.AuditLogVerifier
import plankwall.cli.settings.InvalidSettingsException
import java.io.File
import java.util.concurrent.Callable

/** Verifies a copy of the audit log that [ExportAuditLog] made. */
@Command(
    name = "verify",
    description = ["Verify a copy of the audit log; prints the first broken link of each node's chain."],
    mixinStandardHelpOptions = true,
)
class VerifyAuditLog : Callable<Int> {
    @Parameters(paramLabel = "COPY", description = ["A file that `export` wrote."])
    lateinit var copy: File

    @Option(
        names = ["--rights"],
        required = true,
        paramLabel = "FILE",
        description = ["A policy that you trust, with the nodes' keys."],
    )
    lateinit var rights: File

    @Option(
        names = ["--checkpoint"],
        paramLabel = "FILE",
        description = ["A checkpoint that you kept: the audit log must still hold what it covers."],
    )
    var checkpoints: List<File> = emptyList()

    override fun call(): Int {
        val policy = readPolicy(rights)
        val trustedCheckpoints = checkpoints.map { readCheckpoint(it) }
        val auditLog = AuditLogFile.read(copy)
        if (auditLog.chains.isEmpty() && auditLog.seals.isEmpty()) {
            throw InvalidSettingsException("$copy", "contains no audit log: there is nothing to verify")
        }
        val outcome = AuditLogVerifier(policy::publicKey).verify(auditLog, trustedCheckpoints)
        outcome.failures.forEach { println(it) }
        val sealed = outcome.sealedCounts.entries.joinToString(", ") { (node, next) -> "$node up to ${next - 1}" }
        println("${outcome.entryCount} entries hold together, sealed: ${sealed.ifEmpty { "none" }}")
        println(if (outcome.failures.isEmpty()) "nothing is broken" else "${outcome.failures.size} broken")
        return if (outcome.failures.isEmpty()) 0 else 1
    }

    private fun readCheckpoint(file: File): String {
        if (!file.canRead()) throw InvalidSettingsException("$file", "can't be read")
        return file.readText().trim()
    }
}
