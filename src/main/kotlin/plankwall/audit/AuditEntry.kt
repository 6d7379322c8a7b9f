package plankwall.audit

/**
 * One decision in the audit log. [id]: unique for ever, so that an entry that was sent to the store twice is
 * recognized. [epoch]: the epoch in which the deciding node led, or 0 if it did not lead. [principal] and [key]: the
 * name and the key id of the caller. [network]: the network that the request came from, which proves nothing. [rule]:
 * the rule or reason that decided. [version]: the version of the policy. [status]: the HTTP status of the answer; 0 if
 * there was no request. [request]: the id that the caller gave the request in its token.
 */
data class AuditEntry(
    val id: String,
    val atMs: Long,
    val epoch: Long,
    val principal: String,
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

/** An entry in the chain of [node]. [number] is counted from 0; [before] is the hash of the line before it. */
class AuditLine(val number: Long, val before: String, val node: String, val entry: AuditEntry)

/** Reports an unreadable line or seal of an audit log. It has no stack trace, since a verifier may meet many. */
class MalformedAuditLineException(val problem: String, cause: Throwable? = null) :
    Exception(problem, cause, false, false)
