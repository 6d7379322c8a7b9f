package plankwall.io

import plankwall.core.statemachine.KeeperRequest
import plankwall.wire.KeeperCodec

/** Paths of the rights and the trail. */
internal object KeeperRoutes {
    private const val RIGHTS = "/api/rights"
    private const val TRAIL = "/api/trail/"
    private const val SEALS = "/api/seals/"

    /** Null for what is no such request. Throws [plankwall.wire.BadMessage] for one whose body is wrong. */
    fun read(r: HttpRequest): KeeperRequest? = when {
        r.path == RIGHTS && r.method == "GET" -> KeeperRequest.Rights
        r.path == RIGHTS && r.method == "POST" -> publication(KeeperCodec.publication(r.body))
        r.method != "GET" -> null
        r.path.startsWith("$RIGHTS/") -> number(r.path.removePrefix("$RIGHTS/"))?.let { KeeperRequest.OldRights(it) }
        r.path.startsWith(SEALS) -> number(r.path.removePrefix(SEALS))?.let { KeeperRequest.Trail(null, it) }
        r.path.startsWith(TRAIL) -> segment(r.path.removePrefix(TRAIL))
        else -> null
    }

    private fun publication(p: KeeperCodec.Publication): KeeperRequest? {
        val text = p.text
        val to = p.to
        return if (text != null) KeeperRequest.Publish(p.base, text) else to?.let { KeeperRequest.Rollback(p.base, it) }
    }

    private fun segment(rest: String): KeeperRequest? {
        val number = number(rest.substringAfterLast('/')) ?: return null
        return rest.substringBeforeLast('/', "").takeIf { NODE.matches(it) }?.let { KeeperRequest.Trail(it, number) }
    }

    private fun number(text: String): Long? = text.toLongOrNull()?.takeIf { it in 0..MAX_NUMBER }

    private val NODE = Regex("[A-Za-z0-9_.-]{1,100}")
    private const val MAX_NUMBER = 9_999_999_999
}
