package plankwall.io

import io.ktor.network.selector.SelectorManager
import org.slf4j.LoggerFactory
import plankwall.model.Address
import plankwall.wire.MalformedMessageException
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** A client of the state service. Watches have connections of their own, so that they delay no other request. */
class StateClient(selector: SelectorManager, address: Address) {
    private val log = LoggerFactory.getLogger("state")
    private val calls = HttpClient(selector, address, maxConnections = 12, maxWaiting = 150)
    private val watches = HttpClient(selector, address, maxConnections = 2, maxWaiting = 4)

    /** Executes [op]; failures are results too. */
    suspend fun run(op: StateOp): StateResult = try {
        val outcome = send(op)
        val result = read(op, outcome)
        if (result == StateResult.Unknown || result == StateResult.Refused) {
            log.debug("state service request failed op={} outcome={}", name(op), describe(outcome))
        }
        result
    } catch (e: MalformedMessageException) {
        log.warn("state service answer malformed op={} problem={}", name(op), e.message)
        StateResult.Unknown
    }

    private suspend fun send(op: StateOp): HttpOutcome = when (op) {
        is StateOp.Get -> calls.call("GET", "/keys/${op.key}", null, CALL_MS)
        is StateOp.Range -> {
            val after = op.after?.let { "&from=$it" }.orEmpty()
            calls.call("GET", "/keys?prefix=${op.prefix}$after&page=${op.limit}", null, CALL_MS * 2)
        }
        is StateOp.Txn -> calls.call("POST", "/multi", StateCodec.txn(op), CALL_MS)
        is StateOp.Grant -> calls.call("POST", "/grants", StateCodec.grant(op.ttlMs), CALL_MS)
        is StateOp.Renew -> calls.call("POST", "/grants/${op.lease}/touch", NO_BODY, CALL_MS)
        is StateOp.Drop -> calls.call("DELETE", "/grants/${op.lease}", null, CALL_MS)
        is StateOp.Changes -> calls.call("GET", changes(op.prefix, op.after, blockMs = 0), null, CALL_MS)
        is StateOp.Watch ->
            watches.call("GET", changes(op.prefix, op.after, op.waitMs), null, op.waitMs + WATCH_MARGIN_MS)
    }

    private fun changes(prefix: String, after: Long, blockMs: Long) =
        "/changes?prefix=$prefix&from=$after&block_ms=$blockMs"

    private fun read(op: StateOp, outcome: HttpOutcome): StateResult = when (outcome) {
        is HttpOutcome.NotSent -> StateResult.Refused
        is HttpOutcome.Unanswered -> StateResult.Unknown
        is HttpOutcome.Answered -> when (outcome.status) {
            HttpStatus.OK, HttpStatus.CREATED, HttpStatus.NO_CONTENT -> success(op, outcome.body)
            HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE -> StateResult.Refused
            HttpStatus.NOT_FOUND -> if (op is StateOp.Get) StateResult.Item(null) else StateResult.NoLease
            HttpStatus.CONFLICT -> StateCodec.conflict(outcome.body)
            HttpStatus.GONE -> StateResult.TooOld
            HttpStatus.BAD_REQUEST -> {
                log.warn("state service rejected request as malformed op={} answer={}", name(op), describe(outcome))
                StateResult.Rejected
            }
            else -> StateResult.Unknown
        }
    }

    private fun success(op: StateOp, body: ByteArray): StateResult = when (op) {
        is StateOp.Get -> StateCodec.item(body)
        is StateOp.Range -> StateCodec.items(body)
        is StateOp.Txn -> StateCodec.committed(body)
        is StateOp.Grant -> StateCodec.granted(body)
        is StateOp.Renew, is StateOp.Drop -> StateResult.Renewed
        is StateOp.Changes, is StateOp.Watch -> StateCodec.news(body)
    }

    private fun name(op: StateOp): String = when (op) {
        is StateOp.Txn -> "Txn(${op.writes.size} writes)"
        else -> op.toString()
    }

    private companion object {
        const val CALL_MS = 1_500L

        /** What a watch may take beyond the time that it waits for changes. */
        const val WATCH_MARGIN_MS = 4_000L
    }
}
