package plankwall.io

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import plankwall.core.Controller
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.model.Settings
import plankwall.model.Tuning
import plankwall.wire.JobCodec

/**
 * Runs the [Controller] of one node against real clocks and sockets: passes inputs to it and performs the effects that
 * it returns. Everything runs on the single thread of [scope]; only [selector] has a thread of its own.
 *
 * @param accessComponents authenticates callers and peers; null if the operators require no identity
 */
class Daemon(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val settings: Settings,
    tuning: Tuning,
    accessComponents: AccessComponents? = null,
) {
    private val log = LoggerFactory.getLogger("daemon")

    /**
     * The wall-clock time of the start in milliseconds; distinguishes this process from earlier ones of the same node.
     */
    private val incarnation = System.currentTimeMillis()
    private val controller =
        Controller(
            settings,
            tuning,
            incarnation,
            seed = System.nanoTime(),
            accessCheck = accessComponents?.createAccessCheck,
        )
    private val stateClient = StateClient(selector, settings.stateAddress)
    private val cloudClient =
        CloudClient(selector, settings.cloudAddress, settings.cloud.rps) { System.nanoTime() / NANOS_PER_MS }

    /** The replies that HTTP connections wait for. */
    private val pendingReplies = HashMap<RequestId, CompletableDeferred<HttpReply>>()
    private var nextRequestNumber = 1L
    private val routes = ApiRoutes(authenticated = accessComponents != null, ::awaitReply)
    private val workerCommands = WorkerCommands(scope, selector, ::processInput)
    private val peerLinks =
        PeerLinks(scope, selector, settings.peers, accessComponents?.createFrameSigner?.invoke(incarnation)) {
            processInput(Input.PeerMessageReceived(it))
        }

    /**
     * Serves until [scope] ends; throws [java.io.IOException] if an address can't be bound. An error that can't be
     * contained to one input is passed on, or reaches the exception handler of [scope].
     */
    suspend fun run() {
        HttpServer(scope, selector, settings.frontConnections, routes::handle).start(settings.front)
        peerLinks.listen(settings.internal)
        log.info("controller started node={} front={} internal={}", settings.node, settings.front, settings.internal)
        log.info(
            "service-level objectives read classes={}; other classes without a quota use leftover capacity",
            settings.objectives.mapNotNull { it.jobClass }.toSet(),
        )
        while (scope.isActive) {
            processInput(Input.Tick)
            delay(TICK_MS)
            workerCommands.logDroppedCommands()
        }
    }

    private fun processInput(input: Input) {
        val effects = try {
            controller.step(System.nanoTime() / NANOS_PER_S, System.currentTimeMillis(), input)
        } catch (
            // A fault in the handling of one input must not end the process. An Error must: it has left the
            // controller's state halfway through a change.
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            log.error("step failed input={}", input.javaClass.simpleName, e)
            return
        }
        effects.forEach { effect ->
            try {
                performEffect(effect)
            } catch (
                // A fault in one effect must not keep the others from being performed.
                @Suppress("TooGenericExceptionCaught") e: Exception,
            ) {
                log.error("effect failed effect={}", effect.javaClass.simpleName, e)
            }
        }
    }

    private fun performEffect(effect: Effect) {
        when (effect) {
            is Effect.Answer -> completeReply(effect)
            is Effect.StateCall -> scope.launch {
                processInput(Input.StateReply(effect.call, stateClient.execute(effect.op)))
            }
            is Effect.CloudCall -> scope.launch {
                processInput(Input.CloudReply(effect.call, cloudClient.execute(effect.op)))
            }
            is Effect.WorkerPost -> workerCommands.send(effect)
            is Effect.PeerSend -> peerLinks.send(effect.message, effect.to)
        }
    }

    private fun completeReply(effect: Effect.Answer) {
        val reply = HttpReply(effect.status, effect.body, effect.retryAfterS, closeConnection = effect.closeConnection)
        pendingReplies.remove(effect.request)?.complete(reply)
    }

    /**
     * Passes the input that [createInput] makes for a new request to the controller and waits for its answer. Replies
     * with status 503 at once if too many requests wait already.
     */
    private suspend fun awaitReply(createInput: (RequestId) -> Input): HttpReply {
        if (pendingReplies.size >= MAX_PENDING_REPLIES) {
            return HttpReply(HttpStatus.SERVICE_UNAVAILABLE, JobCodec.error("overloaded"), RETRY_AFTER_S)
        }
        val request = RequestId(nextRequestNumber++)
        val reply = CompletableDeferred<HttpReply>()
        pendingReplies[request] = reply
        processInput(createInput(request))
        return try {
            reply.await()
        } finally {
            pendingReplies.remove(request)
        }
    }

    private companion object {
        const val TICK_MS = 100L
        const val MAX_PENDING_REPLIES = 400
        const val RETRY_AFTER_S = 1
        const val NANOS_PER_MS = 1_000_000
        const val NANOS_PER_S = 1e9
    }
}
