package plankwall.core.election

import org.slf4j.LoggerFactory
import plankwall.core.cancellations.Cancellations
import plankwall.core.statemachine.Context

/** Logs when this leader begins to withhold answers from workers, since cancellations may be unknown, and its end. */
internal class WithheldAnswers(private val ctx: Context, private val cancellations: Cancellations) {
    private val log = LoggerFactory.getLogger("leadership")
    private var isLogged = false

    /** [epoch] is this node's while it leads, else 0. */
    fun logChange(epoch: Long) {
        val isWithholding = epoch != 0L && !cancellations.isAware
        if (isWithholding == isLogged) return
        isLogged = isWithholding
        if (isWithholding) {
            log.warn(
                "answers withheld, cancellations may be unknown epoch={} store_read_age_s={} unconfirmed_by={}",
                epoch,
                (ctx.now - cancellations.storedUpTo).toLong(),
                cancellations.unconfirmedPeers(),
            )
        } else {
            log.info("answers no longer withheld")
        }
    }
}
