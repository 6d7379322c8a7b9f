package plankwall.simulation

/** How a cut link fails those who use it. */
enum class LinkCut {
    /** The sender gets an error at once: a reset or a refused connection. */
    REFUSE,

    /** Nothing ever arrives. */
    DROP,

    /** All that was sent arrives, in order, when the link is whole again. */
    HOLD,
}

/**
 * The links of a site, each direction for itself. Hosts are nodes, `state`, `cloud` and machines; a machine is also
 * meant by its zone (`zone:a`) and by `workers`.
 */
class SimulatedNetwork(private val clock: SimulatedClock) {
    private class Link(val how: LinkCut) {
        val held = ArrayList<() -> Unit>()
    }

    private val links = LinkedHashMap<Pair<String, String>, Link>()

    /** How many links are cut, each direction counted. */
    val cutCount: Int get() = links.size

    fun cut(from: String, to: String, how: LinkCut) {
        heal(from, to)
        links[from to to] = Link(how)
    }

    fun cutBoth(a: String, b: String, how: LinkCut) {
        cut(a, b, how)
        cut(b, a, how)
    }

    fun heal(from: String, to: String) {
        val held = links.remove(from to to)?.held ?: return
        held.forEach { clock.after(DELAY_S, it) }
    }

    fun healBoth(a: String, b: String) {
        heal(a, b)
        heal(b, a)
    }

    fun healAll() = links.keys.toList().forEach { (from, to) -> heal(from, to) }

    fun isOpen(from: String, to: String, zone: String? = null): Boolean = find(from, to, zone) == null

    private fun find(from: String, to: String, zone: String?): Link? {
        if (links.isEmpty()) return null
        if (zone == null) return links[from to to]
        return names(from, zone).firstNotNullOfOrNull { f ->
            names(to, zone).firstNotNullOfOrNull { t -> links[f to t] }
        }
    }

    /** A machine by all its names; a node by its own. */
    private fun names(host: String, zone: String): List<String> =
        if (host.startsWith("i-")) listOf(host, "zone:$zone", "workers") else listOf(host)

    /**
     * Carries something over the link after [delayS], if it can: [refused] is called where the sender learns at once
     * that it can't. [zone]: of the machine at one end.
     */
    fun carry(
        from: String,
        to: String,
        zone: String? = null,
        delayS: Double = DELAY_S,
        refused: () -> Unit = {},
        deliver: () -> Unit,
    ) {
        val link = find(from, to, zone)
        when (link?.how) {
            null -> clock.after(delayS, deliver)
            LinkCut.REFUSE -> clock.after(delayS, refused)
            LinkCut.DROP -> Unit
            LinkCut.HOLD -> link.held.add(deliver)
        }
    }

    private companion object {
        const val DELAY_S = 0.005
    }
}
