package plankwall.core.election

import org.slf4j.LoggerFactory
import plankwall.core.cancellations.Cancellations
import plankwall.core.statemachine.Context

/**
 * Logs when this leader begins and when it ceases to withhold answers from workers because it may not know all
 * cancellations.
 */
internal class WithheldAnswers(private val ctx: Context, private val cancellations: Cancellations) {
    private val log = LoggerFactory.getLogger("leadership")
    private var wasWithholding = false

    /**
     * Logs the change if there is one since the last call. [epoch] is this node's epoch while it leads, otherwise 0.
     */
    fun logChange(epoch: Long) {
        val isWithholding = epoch != 0L && !cancellations.isUpToDate
        if (isWithholding == wasWithholding) return
        wasWithholding = isWithholding
        if (isWithholding) {
            log.warn(
                "answers withheld, cancellations may be unknown epoch={} store_read_age_s={} unconfirmed_by={}",
                epoch,
                (ctx.now - cancellations.storedKnownUpTo).toLong(),
                cancellations.unconfirmedPeers(),
            )
        } else {
            log.info("answers no longer withheld")
        }
    }
}
