package plankwall.io

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import plankwall.model.Address
import plankwall.wire.CloudCodec
import plankwall.wire.CloudOp
import plankwall.wire.CloudResult
import plankwall.wire.MalformedMessageException

/** Speaks the cloud's protocol, evenly paced below its rate. */
class CloudClient(selector: SelectorManager, address: Address, rps: Double, private val nowMs: () -> Long) {
    private val log = LoggerFactory.getLogger("cloud")
    private val client = HttpClient(selector, address, maxConnections = 6, maxWaiting = 60)
    private val gapMs = (1000.0 / (rps * 0.7)).toLong()
    private var nextSlot = 0L

    suspend fun run(op: CloudOp): CloudResult {
        val now = nowMs()
        val slot = maxOf(now, nextSlot)
        nextSlot = slot + gapMs
        if (slot > now) delay(slot - now)
        val outcome = send(op)
        return try {
            read(op, outcome)
        } catch (e: MalformedMessageException) {
            log.warn("answer to {} can't be read: {}", op, e.message)
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
        if (outcome is HttpOutcome.Answered && outcome.status == 200) {
            return when (op) {
                CloudOp.GetCatalog -> CloudResult.CatalogRead(CloudCodec.catalog(outcome.body))
                is CloudOp.Rent -> CloudCodec.rented(outcome.body)
                is CloudOp.Delete -> CloudResult.Deleted
                is CloudOp.ListMachines -> CloudCodec.listed(outcome.body)
            }
        }
        log.debug("{}: {}", op, describe(outcome))
        if (outcome !is HttpOutcome.Answered) return CloudResult.Trouble
        return when {
            outcome.status == 400 -> CloudResult.Malformed.also { log.warn("{}: {}", op, describe(outcome)) }
            outcome.status == 503 && op is CloudOp.Rent && "no capacity" in outcome.body.decodeToString() ->
                CloudResult.NoCapacity
            else -> CloudResult.Trouble
        }
    }

    private companion object {
        const val TIMEOUT_MS = 6_000L
    }
}
