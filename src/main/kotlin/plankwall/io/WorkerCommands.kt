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
 * Sends commands to workers directly. Each worker also gets its commands in the answer to its next heartbeat, only
 * later; commands that do not fit into the bounded queue are therefore dropped.
 *
 * @param onReply called with the status that a worker reports in its answer
 */
internal class WorkerCommands(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val onReply: (Input.WorkerReply) -> Unit,
) {
    private val log = LoggerFactory.getLogger("daemon")
    private val slots = Semaphore(MAX_CONCURRENT_POSTS)

    /** The number of commands that wait for a slot or are being sent. */
    private var queuedCommands = 0

    /** The number of commands dropped since the last log line about them. */
    private var droppedCommands = 0

    /** Queues [commands] for sending, or drops them if the queue is full. */
    fun send(commands: Effect.WorkerPost) {
        if (queuedCommands >= MAX_QUEUED_COMMANDS) {
            droppedCommands++
            return
        }
        queuedCommands++
        scope.launch {
            try {
                slots.withPermit { postCommands(commands) }
            } finally {
                queuedCommands--
            }
        }
    }

    /** Logs how many commands were dropped, once no command waits for a slot any more. */
    fun logDroppedCommands() {
        if (droppedCommands == 0 || queuedCommands >= MAX_CONCURRENT_POSTS) return
        log.info("direct commands dropped count={} queue_limit={}", droppedCommands, MAX_QUEUED_COMMANDS)
        droppedCommands = 0
    }

    private suspend fun postCommands(commands: Effect.WorkerPost) {
        val address = Address.parse(commands.address) ?: return
        val client = HttpClient(selector, address, maxConnections = 1, maxCallsInProgress = 1, keepAlive = false)
        val outcome = client.call("POST", "/commands", commands.body, POST_TIMEOUT_MS)
        log.debug("direct commands sent machine={} outcome={}", commands.machine, describe(outcome))
        if (outcome !is HttpOutcome.Answered) return
        if (outcome.status != HttpStatus.OK && outcome.status != HttpStatus.CONFLICT) return
        onReply(Input.WorkerReply(commands.machine, readStatus(commands.machine, outcome.body)))
    }

    /** Reads the status in a worker's answer; null, with a log line, if it is malformed. */
    private fun readStatus(machine: String, body: ByteArray): HeartbeatStatus? = try {
        WorkerCodec.readHeartbeat(body)
    } catch (e: MalformedMessageException) {
        log.warn("heartbeat malformed machine={} problem={}", machine, e.message)
        null
    }

    private companion object {
        const val MAX_CONCURRENT_POSTS = 40
        const val MAX_QUEUED_COMMANDS = 400
        const val POST_TIMEOUT_MS = 3_000L
    }
}
