package plankwall.core.relay

/** Counts the workers of each zone that are redirected to a new leader first, to find out whether they reach it. */
internal class ZoneScouts {
    private val sentByZone = HashMap<String, Int>()
    private var epoch = 0L

    /** Counts one more worker of [zone] for the leader of [epoch]; true if it is to go as a scout. */
    fun trySend(epoch: Long, zone: String): Boolean {
        if (this.epoch != epoch) sentByZone.clear()
        this.epoch = epoch
        val sent = (sentByZone[zone] ?: 0) + 1
        sentByZone[zone] = sent
        return sent <= SCOUTS_PER_ZONE
    }

    private companion object {
        const val SCOUTS_PER_ZONE = 2
    }
}
