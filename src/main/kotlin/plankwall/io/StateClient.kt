package plankwall.io

import io.ktor.network.selector.SelectorManager
import org.slf4j.LoggerFactory
import plankwall.model.Address
import plankwall.wire.MalformedMessageException
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/** Speaks the state service's protocol. Watches have connections of their own, so that they hold up nothing. */
class StateClient(selector: SelectorManager, address: Address) {
    private val log = LoggerFactory.getLogger("state")
    private val calls = HttpClient(selector, address, maxConnections = 12, maxWaiting = 150)
    private val watches = HttpClient(selector, address, maxConnections = 2, maxWaiting = 4)

    suspend fun run(op: StateOp): StateResult = try {
        val outcome = send(op)
        val result = read(op, outcome)
        if (result == StateResult.Unknown ||
            result == StateResult.Refused
        ) {
            log.debug("{}: {}", name(op), describe(outcome))
        }
        result
    } catch (e: MalformedMessageException) {
        log.warn("answer to {} can't be read: {}", name(op), e.message)
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
        is StateOp.Changes -> calls.call(
            "GET",
            "/changes?prefix=${op.prefix}&from=${op.after}&block_ms=0",
            null,
            CALL_MS,
        )
        is StateOp.Watch -> watches.call(
            "GET",
            "/changes?prefix=${op.prefix}&from=${op.after}&block_ms=${op.waitMs}",
            null,
            op.waitMs + 4_000,
        )
    }

    private fun read(op: StateOp, outcome: HttpOutcome): StateResult = when (outcome) {
        is HttpOutcome.NotSent -> StateResult.Refused
        is HttpOutcome.Unanswered -> StateResult.Unknown
        is HttpOutcome.Answered -> when (outcome.status) {
            200, 201, 204 -> success(op, outcome.body)
            429, 503 -> StateResult.Refused
            404 -> if (op is StateOp.Get) StateResult.Item(null) else StateResult.NoLease
            409 -> StateCodec.conflict(outcome.body)
            410 -> StateResult.TooOld
            400 -> {
                log.warn("{} refused as malformed: {}", name(op), describe(outcome))
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
    }
}

internal fun describe(outcome: HttpOutcome): String = when (outcome) {
    is HttpOutcome.Answered -> "${outcome.status} ${outcome.body.decodeToString().take(200)}"
    is HttpOutcome.NotSent -> "not sent: ${outcome.why}"
    is HttpOutcome.Unanswered -> "unanswered: ${outcome.why}"
}
