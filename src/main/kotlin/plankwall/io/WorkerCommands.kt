package plankwall.io

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.model.Address
import plankwall.wire.HeartbeatStatus
import plankwall.wire.MalformedMessageException
import plankwall.wire.WorkerCodec

/**
 * Sends commands to workers directly. They only hasten what the answer to the next heartbeat brings anyway: those
 * beyond the bound of the queue are dropped. [onReply] gets the status in every answer.
 */
internal class WorkerCommands(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val onReply: (Input.WorkerReply) -> Unit,
) {
    private val log = LoggerFactory.getLogger("daemon")
    private val slots = Semaphore(MAX_CONCURRENT)
    private var queued = 0
    private var dropped = 0

    fun send(commands: Effect.WorkerPost) {
        if (queued >= MAX_QUEUED) {
            dropped++
            return
        }
        queued++
        scope.launch {
            try {
                slots.withPermit { post(commands) }
            } finally {
                queued--
            }
        }
    }

    /** Logs how many commands were dropped, once the queue is short again. */
    fun logDropped() {
        if (dropped == 0 || queued >= MAX_CONCURRENT) return
        log.info("direct commands dropped count={} queue_limit={}", dropped, MAX_QUEUED)
        dropped = 0
    }

    private suspend fun post(commands: Effect.WorkerPost) {
        val address = Address.parse(commands.address) ?: return
        val client = HttpClient(selector, address, maxConnections = 1, maxWaiting = 1, keepAlive = false)
        val outcome = client.call("POST", "/commands", commands.body, TIMEOUT_MS)
        log.debug("direct commands sent machine={} outcome={}", commands.machine, describe(outcome))
        if (outcome !is HttpOutcome.Answered) return
        if (outcome.status != HttpStatus.OK && outcome.status != HttpStatus.CONFLICT) return
        onReply(Input.WorkerReply(commands.machine, readStatus(commands.machine, outcome.body)))
    }

    private fun readStatus(machine: String, body: ByteArray): HeartbeatStatus? = try {
        WorkerCodec.readReport(body)
    } catch (e: MalformedMessageException) {
        log.warn("heartbeat malformed machine={} problem={}", machine, e.message)
        null
    }

    private companion object {
        const val MAX_CONCURRENT = 40
        const val MAX_QUEUED = 400
        const val TIMEOUT_MS = 3_000L
    }
}
