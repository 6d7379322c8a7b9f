package plankwall.core.cancellations

import plankwall.wire.CancellationUpdate

/**
 * The cancellations that one peer has sent. Its entries are numbered within its incarnation, and each frame repeats
 * those that may not have arrived. So this node knows all cancellations that the peer learned of from [completeSince]
 * up to [sentAt]. All moments are in seconds of this node's monotonic clock.
 */
internal class PeerCancellations {
    private var incarnation = 0L

    /** The number of the last entry that arrived. */
    private var lastEntryNumber = 0L

    /**
     * The moment from which on all entries of the peer have arrived here; positive infinity while nothing has arrived.
     * It may be too late but is never too early: what the peer learned of before it was stored before it.
     */
    var completeSince = Double.POSITIVE_INFINITY
        private set

    /** The peer's newest update was surely not sent before this moment. */
    var sentAt = Double.NEGATIVE_INFINITY
        private set

    /** The peer's newest read of the store surely did not begin before this moment. */
    var storeReadAt = Double.NEGATIVE_INFINITY
        private set

    /**
     * Handles [update] of the peer's run [incarnation], which arrives at [now]. [echoedAt] is when this node sent the
     * newest of its frames that the peer echoes; it is negative infinity if the peer echoes none, since its update may
     * then be of any age.
     */
    fun onUpdate(incarnation: Long, update: CancellationUpdate, echoedAt: Double, now: Double) {
        // The peer was restarted and no longer has what it sent before, or there were more entries in between than a
        // frame holds.
        if (incarnation != this.incarnation || update.first > lastEntryNumber + 1) {
            this.incarnation = incarnation
            // The frame was made before now, so the peer has been up since this moment at the latest; its clock may be
            // fast.
            completeSince = if (update.first == 1L) now - update.upMs / 1000.0 * (1 - CLOCK_DRIFT) else now
            sentAt = Double.NEGATIVE_INFINITY
            storeReadAt = Double.NEGATIVE_INFINITY
            lastEntryNumber = 0
        }
        lastEntryNumber = maxOf(lastEntryNumber, update.first - 1 + update.jobs.size)
        sentAt = maxOf(sentAt, echoedAt)
        if (update.readAgeMs >= 0) {
            storeReadAt = maxOf(storeReadAt, echoedAt - update.readAgeMs / 1000.0 * (1 + CLOCK_DRIFT))
        }
    }

    private companion object {
        /** Twice the rate by which two monotonic clocks may differ (PROTOCOL: each by up to 0.05%). */
        const val CLOCK_DRIFT = 0.002
    }
}
