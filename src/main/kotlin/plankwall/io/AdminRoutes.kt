package plankwall.io

import plankwall.core.statemachine.AdminRequest
import plankwall.wire.AdminCodec

/** Paths of the rights and the trail. */
internal object AdminRoutes {
    private const val RIGHTS = "/api/rights"
    private const val TRAIL = "/api/trail/"
    private const val SEALS = "/api/seals/"

    /** Null for what is no such request. Throws [plankwall.wire.MalformedMessageException] for one whose body is wrong. */
    fun read(r: HttpRequest): AdminRequest? = when {
        r.path == RIGHTS && r.method == "GET" -> AdminRequest.Rights
        r.path == RIGHTS && r.method == "POST" -> publication(AdminCodec.publication(r.body))
        r.method != "GET" -> null
        r.path.startsWith("$RIGHTS/") -> number(r.path.removePrefix("$RIGHTS/"))?.let { AdminRequest.OldRights(it) }
        r.path.startsWith(SEALS) -> number(r.path.removePrefix(SEALS))?.let { AdminRequest.Trail(null, it) }
        r.path.startsWith(TRAIL) -> segment(r.path.removePrefix(TRAIL))
        else -> null
    }

    private fun publication(p: AdminCodec.Publication): AdminRequest? {
        val text = p.text
        val to = p.to
        return if (text != null) AdminRequest.Publish(p.base, text) else to?.let { AdminRequest.Rollback(p.base, it) }
    }

    private fun segment(rest: String): AdminRequest? {
        val number = number(rest.substringAfterLast('/')) ?: return null
        return rest.substringBeforeLast('/', "").takeIf { NODE.matches(it) }?.let { AdminRequest.Trail(it, number) }
    }

    private fun number(text: String): Long? = text.toLongOrNull()?.takeIf { it in 0..MAX_NUMBER }

    private val NODE = Regex("[A-Za-z0-9_.-]{1,100}")
    private const val MAX_NUMBER = 9_999_999_999
}
