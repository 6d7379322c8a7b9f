package plankwall.core.cancellations

import plankwall.wire.CancellationUpdate

/**
 * What one peer has said of withdrawn jobs. Its entries are numbered in its incarnation, and each frame repeats those
 * that may not have arrived. So what it came to know from [wholeSince] on is all known here, as of the frame made at
 * [madeAt] or later.
 */
internal class PeerCancellations {
    private var incarnation = 0L
    private var have = 0L

    /** Our clock, never too early: what the peer knew before was stored before. Infinite: nothing was heard. */
    var wholeSince = Double.POSITIVE_INFINITY
        private set

    /** Its newest word was surely not made before. */
    var madeAt = Double.NEGATIVE_INFINITY
        private set

    /** Its newest reading of the store was surely not begun before. */
    var storedUpTo = Double.NEGATIVE_INFINITY
        private set

    /**
     * [echoedAt]: when the newest frame of ours that it shows was sent; negative infinity: it shows none, so its word
     * may be of any age.
     */
    fun onUpdate(incarnation: Long, news: CancellationUpdate, echoedAt: Double, now: Double) {
        // It has forgotten what it told before it was started, or more came between than a frame holds.
        if (incarnation != this.incarnation || news.first > have + 1) {
            this.incarnation = incarnation
            // The frame was made before now, so it was up from then on at the latest; its clock may run slow.
            wholeSince = if (news.first == 1L) now - news.upMs / 1000.0 * (1 - DRIFT) else now
            madeAt = Double.NEGATIVE_INFINITY
            storedUpTo = Double.NEGATIVE_INFINITY
            have = 0
        }
        have = maxOf(have, news.first - 1 + news.jobs.size)
        madeAt = maxOf(madeAt, echoedAt)
        if (news.readAgeMs >= 0) storedUpTo = maxOf(storedUpTo, echoedAt - news.readAgeMs / 1000.0 * (1 + DRIFT))
    }

    private companion object {
        /** Twice by how much two steady clocks may differ (PROTOCOL: each by up to 0.05%). */
        const val DRIFT = 0.002
    }
}
