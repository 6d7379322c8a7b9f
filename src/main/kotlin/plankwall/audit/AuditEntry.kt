package plankwall.audit

/**
 * One decision in the audit log. [id]: unique for ever, by which an entry that was sent twice is recognized. [epoch]:
 * of the deciding node's leadership term, or 0. [network]: where the request came from, which proves nothing.
 * [version]: of the policy. [status]: the caller's HTTP status; 0: there was no request. [request]: the caller's own id
 * of the request, from its token.
 */
data class AuditEntry(
    val id: String,
    val atMs: Long,
    val epoch: Long,
    val who: String,
    val key: String,
    val network: String,
    val action: String,
    val subject: String,
    val allowed: Boolean,
    val rule: String,
    val version: Long,
    val status: Int,
    val request: String = "",
    val note: String = "",
)

/** An entry as it stands in a chain: [number] counts from 0 on [node], [before] is the hash of the line before it. */
class AuditLine(val number: Long, val before: String, val node: String, val entry: AuditEntry)

/** A line of an audit log, or a seal, that can't be read. Without stack trace: a verifier meets many. */
class MalformedAuditLineException(val problem: String, cause: Throwable? = null) :
    Exception(problem, cause, false, false)
