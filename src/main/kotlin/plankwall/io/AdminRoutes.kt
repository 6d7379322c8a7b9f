package plankwall.io

import plankwall.core.statemachine.AdminRequest
import plankwall.wire.AdminCodec
import plankwall.wire.MalformedMessageException

/** Maps HTTP requests about the policy, the audit log and its checkpoints to [AdminRequest]s. */
internal object AdminRoutes {
    private const val POLICY_PATH = "/api/rights"
    private const val AUDIT_LOG_PATH = "/api/trail/"
    private const val CHECKPOINT_PATH = "/api/seals/"
    private const val MAX_NUMBER = 9_999_999_999
    private val NODE_NAME = Regex("[A-Za-z0-9_.-]{1,100}")

    /**
     * Reads [request]; returns null if it is not an administrative one. Throws [MalformedMessageException] for a body
     * that can't be read.
     */
    fun readAdminRequest(request: HttpRequest): AdminRequest? {
        val path = request.path
        return when {
            path == POLICY_PATH && request.method == "GET" -> AdminRequest.CurrentPolicy
            path == POLICY_PATH && request.method == "POST" -> toAdminRequest(AdminCodec.readPublication(request.body))
            request.method != "GET" -> null
            path.startsWith("$POLICY_PATH/") -> parseNumber(path.removePrefix("$POLICY_PATH/"))?.let {
                AdminRequest.PolicyVersion(it)
            }
            path.startsWith(CHECKPOINT_PATH) -> parseNumber(path.removePrefix(CHECKPOINT_PATH))?.let {
                AdminRequest.AuditRecord(null, it)
            }
            path.startsWith(AUDIT_LOG_PATH) -> parseSegmentPath(path.removePrefix(AUDIT_LOG_PATH))
            else -> null
        }
    }

    /** Returns null if [publication] names neither a text nor an earlier version. */
    private fun toAdminRequest(publication: AdminCodec.Publication): AdminRequest? {
        val text = publication.text
        if (text != null) return AdminRequest.Publish(publication.base, text)
        return publication.to?.let { AdminRequest.Rollback(publication.base, it) }
    }

    /** Reads a node's name, a slash and a segment's number from [path]; null if [path] has another form. */
    private fun parseSegmentPath(path: String): AdminRequest? {
        val number = parseNumber(path.substringAfterLast('/')) ?: return null
        val node = path.substringBeforeLast('/', "")
        return if (NODE_NAME.matches(node)) AdminRequest.AuditRecord(node, number) else null
    }

    private fun parseNumber(text: String): Long? = text.toLongOrNull()?.takeIf { it in 0..MAX_NUMBER }
}
