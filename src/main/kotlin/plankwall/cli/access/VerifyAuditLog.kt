package plankwall.cli.access

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import plankwall.audit.AuditLogVerifier
import plankwall.cli.settings.InvalidSettingsException
import java.io.File
import java.util.concurrent.Callable

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
        val policy = readPolicy(rights)
        val trusted = checkpoints.map { readCheckpoint(it) }
        val auditLog = AuditLogFile.read(copy)
        if (auditLog.chains.isEmpty() && auditLog.seals.isEmpty()) {
            throw InvalidSettingsException("$copy", "holds no trail: there is nothing to verify")
        }
        val outcome = AuditLogVerifier(policy::publicKey).verify(auditLog, trusted)
        outcome.broken.forEach { println(it) }
        val sealed = outcome.sealed.entries.joinToString(", ") { (node, next) -> "$node up to ${next - 1}" }
        println("${outcome.entries} entries hold together, sealed: ${sealed.ifEmpty { "none" }}")
        println(if (outcome.broken.isEmpty()) "nothing is broken" else "${outcome.broken.size} broken")
        return if (outcome.broken.isEmpty()) 0 else 1
    }

    private fun readCheckpoint(file: File): String {
        if (!file.canRead()) throw InvalidSettingsException("$file", "can't be read")
        return file.readText().trim()
    }
}
