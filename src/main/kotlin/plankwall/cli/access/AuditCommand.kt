package plankwall.cli.access

import picocli.CommandLine
import picocli.CommandLine.Command

/** Groups the commands about the audit log. */
@Command(
    name = "audit",
    description = ["Export, verify and search the audit log of access decisions."],
    mixinStandardHelpOptions = true,
    subcommands = [ExportAuditLog::class, VerifyAuditLog::class, FindInAuditLog::class, FollowAuditLog::class],
)
class AuditCommand : Runnable {
    override fun run() = CommandLine.usage(this, System.out)
}
