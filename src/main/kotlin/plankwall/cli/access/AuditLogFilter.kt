package plankwall.cli.access

import picocli.CommandLine.Option
import plankwall.audit.AuditEntry

/** Which decisions of the audit log are wanted. */
class AuditLogFilter {
    @Option(names = ["--who"], description = ["Decisions about this principal."])
    var who: String? = null

    @Option(names = ["--job"], description = ["Decisions about this job, or what else was acted on."])
    var job: String? = null

    @Option(
        names = ["--action"],
        description = ["submit, resubmit, show, withdraw, administer, audit, enter, revoke or shed."],
    )
    var action: String? = null

    @Option(names = ["--denied"], description = ["Only what was denied."])
    var denied = false

    /** Whether [entry] has all that was asked for. */
    fun matches(entry: AuditEntry): Boolean = (who == null || entry.who == who) &&
        (job == null || entry.subject == job) &&
        (action == null || entry.action == action) &&
        !(denied && entry.allowed)
}
