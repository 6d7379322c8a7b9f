package plankwall.core.statemachine

/** A request about the access policy or the audit log. */
sealed interface AdminRequest {
    /** Asks for the policy in force. */
    data object CurrentPolicy : AdminRequest

    /** Asks for the policy [version], which may be an earlier one. */
    class PolicyVersion(val version: Long) : AdminRequest

    /** Asks to replace the policy by [text]; refused unless [base] is the version in force. */
    class Publish(val base: Long, val text: String) : AdminRequest

    /** Asks to replace the policy by its earlier version [to]; refused unless [base] is the version in force. */
    class Rollback(val base: Long, val to: Long) : AdminRequest

    /**
     * Asks for one stored record of the audit log: the segment [number] of [node], or the seal [number] if [node] is
     * null.
     */
    class AuditRecord(val node: String?, val number: Long) : AdminRequest
}
