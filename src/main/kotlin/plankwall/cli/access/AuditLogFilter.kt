package plankwall.cli.access

import picocli.CommandLine.Option
import plankwall.audit.AuditEntry

/** The options that select decisions of the audit log. */
class AuditLogFilter {
    @Option(names = ["--who"], description = ["Decisions about this principal."])
    var who: String? = null

    @Option(names = ["--job"], description = ["Decisions about this job or other subject."])
    var job: String? = null

    @Option(
        names = ["--action"],
        description = ["One of submit, resubmit, show, withdraw, administer, audit, enter, revoke or shed."],
    )
    var action: String? = null

    @Option(names = ["--denied"], description = ["Only denied requests."])
    var denied = false

    /** Returns whether [entry] matches all options that were given. */
    fun matches(entry: AuditEntry): Boolean = (who == null || entry.principal == who) &&
        (job == null || entry.subject == job) &&
        (action == null || entry.action == action) &&
        !(denied && entry.allowed)
}
