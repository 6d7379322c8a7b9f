package plankwall.core.cancellations

import plankwall.wire.CancellationUpdate

/**
 * What one peer has sent about cancelled jobs. Its entries are numbered in its incarnation, and each frame repeats
 * those that may not have arrived. So all that the peer learned from [completeSince] on is known here, as of the frame
 * sent at [sentAt] or later. Times are of this node's steady clock.
 */
internal class PeerCancellations {
    private var incarnation = 0L

    /** The number of the last entry that arrived. */
    private var lastEntry = 0L

    /** Never too early: what the peer learned before was stored before. Infinite while nothing has arrived. */
    var completeSince = Double.POSITIVE_INFINITY
        private set

    /** Its newest update was surely not sent before. */
    var sentAt = Double.NEGATIVE_INFINITY
        private set

    /** Its newest read of the store surely did not begin before. */
    var storedUpTo = Double.NEGATIVE_INFINITY
        private set

    /**
     * Takes [update], which arrives at [now]. [echoedAt] is when the newest frame of this node was sent that the peer
     * echoes; negative infinity if it echoes none, so that its update may be of any age.
     */
    fun onUpdate(incarnation: Long, update: CancellationUpdate, echoedAt: Double, now: Double) {
        // The peer has lost what it sent before its start, or more came between than a frame holds.
        if (incarnation != this.incarnation || update.first > lastEntry + 1) {
            this.incarnation = incarnation
            // The frame was made before now, so the peer was up from then on at the latest; its clock may be slow.
            completeSince = if (update.first == 1L) now - update.upMs / 1000.0 * (1 - CLOCK_DRIFT) else now
            sentAt = Double.NEGATIVE_INFINITY
            storedUpTo = Double.NEGATIVE_INFINITY
            lastEntry = 0
        }
        lastEntry = maxOf(lastEntry, update.first - 1 + update.jobs.size)
        sentAt = maxOf(sentAt, echoedAt)
        if (update.readAgeMs >= 0) {
            storedUpTo = maxOf(storedUpTo, echoedAt - update.readAgeMs / 1000.0 * (1 + CLOCK_DRIFT))
        }
    }

    private companion object {
        /** Twice by how much two steady clocks may differ (PROTOCOL: each by up to 0.05%). */
        const val CLOCK_DRIFT = 0.002
    }
}
