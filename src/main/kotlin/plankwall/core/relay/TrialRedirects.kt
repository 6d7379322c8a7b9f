package plankwall.core.relay

/** Limits the number of workers of each zone that are redirected to a new leader on trial, to see if they reach it. */
internal class TrialRedirects {
    private val sentByZone = HashMap<String, Int>()
    private var epoch = 0L

    /** Counts a worker of [zone] for the leader of [epoch]. Returns whether it is among the first, to be redirected. */
    fun trySend(epoch: Long, zone: String): Boolean {
        if (this.epoch != epoch) sentByZone.clear()
        this.epoch = epoch
        val sent = (sentByZone[zone] ?: 0) + 1
        sentByZone[zone] = sent
        return sent <= TRIALS_PER_ZONE
    }

    private companion object {
        const val TRIALS_PER_ZONE = 2
    }
}
