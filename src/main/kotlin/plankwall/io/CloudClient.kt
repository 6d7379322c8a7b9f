package plankwall.io

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.slf4j.LoggerFactory
import plankwall.model.Address
import plankwall.wire.CloudCodec
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.MalformedMessageException

/**
 * A client of the cloud's API that spaces its requests evenly and uses only a part of the rate that the cloud allows.
 *
 * @param rps the requests per second that the cloud allows
 * @param nowMs a monotonic clock in milliseconds
 */
class CloudClient(selector: SelectorManager, address: Address, rps: Double, private val nowMs: () -> Long) {
    private val log = LoggerFactory.getLogger("cloud")
    private val client = HttpClient(selector, address, maxConnections = 6, maxCallsInProgress = 60)
    private val intervalMs = (1000.0 / (rps * USED_RATE_SHARE)).toLong()

    /** The earliest time of the next request, by [nowMs]. */
    private var nextRequestMs = 0L

    /** Executes [op] after waiting for its turn. A failure is returned as a result, never thrown. */
    suspend fun execute(op: CloudOp): CloudResult {
        val calledAtMs = nowMs()
        val startMs = maxOf(calledAtMs, nextRequestMs)
        nextRequestMs = startMs + intervalMs
        if (startMs > calledAtMs) delay(startMs - calledAtMs)
        return try {
            interpretOutcome(op, send(op))
        } catch (e: MalformedMessageException) {
            log.warn("cloud answer malformed op={} problem={}", op, e.message)
            CloudResult.Trouble
        } catch (
            // Whoever waits for the result would wait for ever.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            currentCoroutineContext().ensureActive()
            log.error("cloud call failed op={}", op, e)
            CloudResult.Trouble
        }
    }

    private suspend fun send(op: CloudOp): HttpOutcome = when (op) {
        CloudOp.GetCatalog -> client.call("GET", "/catalog", null, CALL_TIMEOUT_MS)
        is CloudOp.Rent -> client.call("POST", "/machines", CloudCodec.writeRent(op), CALL_TIMEOUT_MS)
        is CloudOp.Delete -> client.call("POST", "/machines/delete", CloudCodec.writeDelete(op), CALL_TIMEOUT_MS)
        is CloudOp.ListMachines -> {
            val fromParameter = op.after?.let { "from=$it&" }.orEmpty()
            client.call("GET", "/machines?${fromParameter}page=${op.limit}", null, CALL_TIMEOUT_MS)
        }
    }

    /** Translates [outcome] into the result of [op]; throws [MalformedMessageException] for an unreadable answer. */
    private fun interpretOutcome(op: CloudOp, outcome: HttpOutcome): CloudResult {
        if (outcome !is HttpOutcome.Answered) {
            logFailure(op, outcome)
            return CloudResult.Trouble
        }
        if (outcome.status == HttpStatus.OK) return readSuccess(op, outcome.body)
        logFailure(op, outcome)
        return when {
            outcome.status == HttpStatus.BAD_REQUEST -> {
                log.warn("cloud rejected request as malformed op={} answer={}", op, describe(outcome))
                CloudResult.Malformed
            }
            op is CloudOp.Rent && saysNoCapacity(outcome) -> CloudResult.NoCapacity
            else -> CloudResult.Trouble
        }
    }

    private fun readSuccess(op: CloudOp, body: ByteArray): CloudResult = when (op) {
        CloudOp.GetCatalog -> CloudResult.CatalogRead(CloudCodec.readCatalog(body))
        is CloudOp.Rent -> CloudCodec.readRented(body)
        is CloudOp.Delete -> CloudResult.Deleted
        is CloudOp.ListMachines -> CloudCodec.readListed(body)
    }

    private fun saysNoCapacity(answer: HttpOutcome.Answered): Boolean =
        answer.status == HttpStatus.SERVICE_UNAVAILABLE && NO_CAPACITY_TEXT in answer.body.decodeToString()

    private fun logFailure(op: CloudOp, outcome: HttpOutcome) =
        log.debug("cloud request failed op={} outcome={}", op, describe(outcome))

    private companion object {
        const val CALL_TIMEOUT_MS = 6_000L
        const val USED_RATE_SHARE = 0.7
        const val NO_CAPACITY_TEXT = "no capacity"
    }
}
