package plankwall.simulation

/** The ways in which messages fail on a cut link. */
enum class LinkCut {
    /** The sender gets an error at once: a reset or a refused connection. */
    REFUSE,

    /** Messages are lost without an error. */
    DROP,

    /** Messages are held back and arrive in order when the link is healed. */
    HOLD,
}

/**
 * The network links of a simulated cluster; each direction of a link can be cut by itself. Hosts are controllers, the
 * store (`state`), the cloud (`cloud`) and machines; the names `zone:a` and `workers` stand for all machines of the
 * zone `a` and for all machines.
 */
class SimulatedNetwork(private val clock: SimulatedClock) {
    private class CutLink(val kind: LinkCut) {
        val heldDeliveries = ArrayList<() -> Unit>()
    }

    private val cutLinks = LinkedHashMap<Pair<String, String>, CutLink>()

    /** The number of cut links; each direction counts as one. */
    val cutCount: Int get() = cutLinks.size

    /** Cuts the link for messages from [from] to [to]; an earlier cut of it is healed first. */
    fun cut(from: String, to: String, kind: LinkCut) {
        heal(from, to)
        cutLinks[from to to] = CutLink(kind)
    }

    /** Cuts both directions of the link between [a] and [b]. */
    fun cutBoth(a: String, b: String, kind: LinkCut) {
        cut(a, b, kind)
        cut(b, a, kind)
    }

    /** Restores the link for messages from [from] to [to] and delivers the messages that it held back. */
    fun heal(from: String, to: String) {
        val heldDeliveries = cutLinks.remove(from to to)?.heldDeliveries ?: return
        heldDeliveries.forEach { clock.after(DEFAULT_DELAY_S, it) }
    }

    /** Restores both directions of the link between [a] and [b]. */
    fun healBoth(a: String, b: String) {
        heal(a, b)
        heal(b, a)
    }

    /** Restores all links. */
    fun healAll() = cutLinks.keys.toList().forEach { (from, to) -> heal(from, to) }

    /** Returns whether a message from [from] to [to] would arrive; [zone] is that of the machine at one end, if any. */
    fun isOpen(from: String, to: String, zone: String? = null): Boolean = findCut(from, to, zone) == null

    private fun findCut(from: String, to: String, zone: String?): CutLink? {
        if (cutLinks.isEmpty()) return null
        if (zone == null) return cutLinks[from to to]
        return namesOf(from, zone).firstNotNullOfOrNull { fromName ->
            namesOf(to, zone).firstNotNullOfOrNull { toName -> cutLinks[fromName to toName] }
        }
    }

    /** The names by which a cut may refer to [host]: for a machine its id, its zone and `workers`. */
    private fun namesOf(host: String, zone: String): List<String> =
        if (host.startsWith("i-")) listOf(host, "zone:$zone", "workers") else listOf(host)

    /**
     * Sends a message: [onDelivered] is called after [delayS], or later if the link holds messages back, or never if
     * the link drops them. [onRefused] is called instead if the link refuses the sender. [zone] is that of the machine
     * at one end, if any.
     */
    fun carry(
        from: String,
        to: String,
        zone: String? = null,
        delayS: Double = DEFAULT_DELAY_S,
        onRefused: () -> Unit = {},
        onDelivered: () -> Unit,
    ) {
        val cutLink = findCut(from, to, zone)
        when (cutLink?.kind) {
            null -> clock.after(delayS, onDelivered)
            LinkCut.REFUSE -> clock.after(delayS, onRefused)
            LinkCut.DROP -> Unit
            LinkCut.HOLD -> cutLink.heldDeliveries.add(onDelivered)
        }
    }

    private companion object {
        const val DEFAULT_DELAY_S = 0.005
    }
}
