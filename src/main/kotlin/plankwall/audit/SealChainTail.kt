package plankwall.audit

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.wire.AccessKeys
import plankwall.wire.AuditSeal

/** Finds the last seal in the store. Seals are numbered without a gap. */
class SealChainTail(private val ctx: Context) {
    private val log = LoggerFactory.getLogger("audit")

    /** [next]: the number of the next seal. [hash] of the last one, and the chains' [heads] that it names. */
    class End(val next: Long, val hash: String, val heads: Map<String, ChainHead>)

    /** [then] gets null if the store can't be read. */
    fun find(then: (End?) -> Unit) = LastRecordSearch({ AccessKeys.seal(it) }, ctx).find(0) { found ->
        val value = found?.item?.value as? AuditSeal
        when {
            found == null -> then(null)
            value == null -> then(End(0, AuditLines.START, emptyMap()))
            else -> then(End(found.number + 1, AuditLines.hash(value.jws), headsOf(found.number, value)))
        }
    }

    private fun headsOf(number: Long, seal: AuditSeal): Map<String, ChainHead> = try {
        Seals.read(seal.jws).heads
    } catch (e: MalformedAuditLineException) {
        // Somebody wrote over it: the next seal still names its hash, and the verifier reports it.
        log.error("seal unreadable number={} problem={}", number, e.message)
        emptyMap()
    }
}
