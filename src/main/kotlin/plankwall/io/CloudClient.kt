package plankwall.io

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import plankwall.model.Address
import plankwall.wire.CloudCodec
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.MalformedMessageException

/** A client of the cloud that spaces its requests evenly, at a part of the rate [rps] that the cloud allows. */
class CloudClient(selector: SelectorManager, address: Address, rps: Double, private val nowMs: () -> Long) {
    private val log = LoggerFactory.getLogger("cloud")
    private val client = HttpClient(selector, address, maxConnections = 6, maxWaiting = 60)
    private val intervalMs = (1000.0 / (rps * USED_RATE_SHARE)).toLong()
    private var nextRequestMs = 0L

    /** Executes [op]; failures are results too. */
    suspend fun run(op: CloudOp): CloudResult {
        val now = nowMs()
        val startMs = maxOf(now, nextRequestMs)
        nextRequestMs = startMs + intervalMs
        if (startMs > now) delay(startMs - now)
        val outcome = send(op)
        return try {
            read(op, outcome)
        } catch (e: MalformedMessageException) {
            log.warn("cloud answer malformed op={} problem={}", op, e.message)
            CloudResult.Trouble
        }
    }

    private suspend fun send(op: CloudOp): HttpOutcome = when (op) {
        CloudOp.GetCatalog -> client.call("GET", "/catalog", null, TIMEOUT_MS)
        is CloudOp.Rent -> client.call("POST", "/machines", CloudCodec.rent(op), TIMEOUT_MS)
        is CloudOp.Delete -> client.call("POST", "/machines/delete", CloudCodec.delete(op), TIMEOUT_MS)
        is CloudOp.ListMachines -> {
            val after = op.after?.let { "from=$it&" }.orEmpty()
            client.call("GET", "/machines?${after}page=${op.limit}", null, TIMEOUT_MS)
        }
    }

    private fun read(op: CloudOp, outcome: HttpOutcome): CloudResult {
        if (outcome !is HttpOutcome.Answered) {
            logFailure(op, outcome)
            return CloudResult.Trouble
        }
        if (outcome.status == HttpStatus.OK) return success(op, outcome.body)
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

    private fun success(op: CloudOp, body: ByteArray): CloudResult = when (op) {
        CloudOp.GetCatalog -> CloudResult.CatalogRead(CloudCodec.catalog(body))
        is CloudOp.Rent -> CloudCodec.rented(body)
        is CloudOp.Delete -> CloudResult.Deleted
        is CloudOp.ListMachines -> CloudCodec.listed(body)
    }

    private fun saysNoCapacity(answer: HttpOutcome.Answered): Boolean =
        answer.status == HttpStatus.SERVICE_UNAVAILABLE && NO_CAPACITY in answer.body.decodeToString()

    private fun logFailure(op: CloudOp, outcome: HttpOutcome) =
        log.debug("cloud request failed op={} outcome={}", op, describe(outcome))

    private companion object {
        const val TIMEOUT_MS = 6_000L
        const val USED_RATE_SHARE = 0.7
        const val NO_CAPACITY = "no capacity"
    }
}
