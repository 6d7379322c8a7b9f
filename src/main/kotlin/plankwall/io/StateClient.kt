package plankwall.io

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.slf4j.LoggerFactory
import plankwall.model.Address
import plankwall.wire.MalformedMessageException
import plankwall.wire.StateCodec
import plankwall.wire.StateOp
import plankwall.wire.StateResult

/**
 * A client of the state service. Watches have connections of their own so that they delay no other request: a watch
 * occupies its connection while it waits for changes.
 */
class StateClient(selector: SelectorManager, address: Address) {
    private val log = LoggerFactory.getLogger("state")
    private val callClient = HttpClient(selector, address, maxConnections = 12, maxCallsInProgress = 150)
    private val watchClient = HttpClient(selector, address, maxConnections = 2, maxCallsInProgress = 4)

    /** Executes [op]. A failure is returned as a result, never thrown. */
    suspend fun execute(op: StateOp): StateResult = try {
        val outcome = send(op)
        val result = interpretOutcome(op, outcome)
        if (result == StateResult.Unknown || result == StateResult.Refused) {
            log.debug("state service request failed op={} outcome={}", describeOperation(op), describe(outcome))
        }
        result
    } catch (e: MalformedMessageException) {
        log.warn("state service answer malformed op={} problem={}", describeOperation(op), e.message)
        StateResult.Unknown
    } catch (
        // Whoever waits for the result, a watch for example, would wait for ever.
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        currentCoroutineContext().ensureActive()
        log.error("state service call failed op={}", describeOperation(op), e)
        StateResult.Unknown
    }

    private suspend fun send(op: StateOp): HttpOutcome = when (op) {
        is StateOp.Get -> callClient.call("GET", "/keys/${op.key}", null, CALL_TIMEOUT_MS)
        is StateOp.Range -> {
            val fromParameter = op.after?.let { "&from=$it" }.orEmpty()
            callClient.call(
                "GET",
                "/keys?prefix=${op.prefix}$fromParameter&page=${op.limit}",
                null,
                CALL_TIMEOUT_MS * 2,
            )
        }
        is StateOp.Txn -> callClient.call("POST", "/multi", StateCodec.writeTransaction(op), CALL_TIMEOUT_MS)
        is StateOp.Grant -> callClient.call("POST", "/grants", StateCodec.writeGrant(op.ttlMs), CALL_TIMEOUT_MS)
        is StateOp.Renew -> callClient.call("POST", "/grants/${op.lease}/touch", EMPTY_BODY, CALL_TIMEOUT_MS)
        is StateOp.Drop -> callClient.call("DELETE", "/grants/${op.lease}", null, CALL_TIMEOUT_MS)
        is StateOp.Changes -> callClient.call(
            "GET",
            changesPath(op.prefix, op.after, blockMs = 0),
            null,
            CALL_TIMEOUT_MS,
        )
        is StateOp.Watch ->
            watchClient.call("GET", changesPath(op.prefix, op.after, op.waitMs), null, op.waitMs + WATCH_MARGIN_MS)
    }

    private fun changesPath(prefix: String, after: Long, blockMs: Long) =
        "/changes?prefix=$prefix&from=$after&block_ms=$blockMs"

    /** Translates [outcome] into the result of [op]; throws [MalformedMessageException] for an unreadable answer. */
    private fun interpretOutcome(op: StateOp, outcome: HttpOutcome): StateResult = when (outcome) {
        is HttpOutcome.NotSent -> StateResult.Refused
        is HttpOutcome.Unanswered -> StateResult.Unknown
        is HttpOutcome.Answered -> when (outcome.status) {
            HttpStatus.OK, HttpStatus.CREATED, HttpStatus.NO_CONTENT -> readSuccess(op, outcome.body)
            HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE -> StateResult.Refused
            HttpStatus.NOT_FOUND -> if (op is StateOp.Get) StateResult.Item(null) else StateResult.NoLease
            HttpStatus.CONFLICT -> StateCodec.readConflict(outcome.body)
            HttpStatus.GONE -> StateResult.TooOld
            HttpStatus.BAD_REQUEST -> {
                log.warn(
                    "state service rejected request as malformed op={} answer={}",
                    describeOperation(op),
                    describe(outcome),
                )
                StateResult.Rejected
            }
            else -> StateResult.Unknown
        }
    }

    private fun readSuccess(op: StateOp, body: ByteArray): StateResult = when (op) {
        is StateOp.Get -> StateCodec.readItem(body)
        is StateOp.Range -> StateCodec.readItems(body)
        is StateOp.Txn -> StateCodec.readCommitted(body)
        is StateOp.Grant -> StateCodec.readGranted(body)
        is StateOp.Renew, is StateOp.Drop -> StateResult.Renewed
        is StateOp.Changes, is StateOp.Watch -> StateCodec.readChanges(body)
    }

    /** Returns a short text about [op] for the log: a transaction only by its number of writes. */
    private fun describeOperation(op: StateOp): String = when (op) {
        is StateOp.Txn -> "Txn(${op.writes.size} writes)"
        else -> op.toString()
    }

    private companion object {
        const val CALL_TIMEOUT_MS = 1_500L

        /** The time that a watch may take in addition to its wait for changes. */
        const val WATCH_MARGIN_MS = 4_000L
    }
}
