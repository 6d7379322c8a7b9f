package plankwall.cli.access

import picocli.CommandLine
import picocli.CommandLine.Command

/** Groups the commands about the audit log. */
@Command(
    name = "audit",
    description = ["Copy, verify and search the trail of decisions."],
    mixinStandardHelpOptions = true,
    subcommands = [ExportAuditLog::class, VerifyAuditLog::class, FindInAuditLog::class, FollowAuditLog::class],
)
class AuditCommand : Runnable {
    override fun run() = CommandLine.usage(this, System.out)
}
