package plankwall.audit

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Context
import plankwall.wire.AccessKeys
import plankwall.wire.AuditSeal

/** Finds the last seal in the store, where seals are numbered without a gap. */
class SealChainTail(private val ctx: Context) {
    private val log = LoggerFactory.getLogger("audit")

    /** The end of the chain of seals. [next]: the number of the next seal. [hash], [heads]: those of the last seal. */
    class End(val next: Long, val hash: String, val heads: Map<String, ChainHead>)

    /** Finds the last seal. [onResult] gets null if the store can't be read. */
    fun find(onResult: (End?) -> Unit) = LastRecordSearch({ AccessKeys.seal(it) }, ctx).find(0) { found ->
        val value = found?.item?.value as? AuditSeal
        when {
            found == null -> onResult(null)
            value == null -> onResult(End(0, AuditLines.START, emptyMap()))
            else -> onResult(End(found.number + 1, AuditLines.hash(value.jws), headsOf(found.number, value)))
        }
    }

    private fun headsOf(number: Long, seal: AuditSeal): Map<String, ChainHead> = try {
        Seals.read(seal.jws).heads
    } catch (e: MalformedAuditLineException) {
        // The stored seal was tampered with. The next seal still refers to its hash, so the verifier reports it.
        log.error("seal unreadable number={} problem={}", number, e.message)
        emptyMap()
    }
}
