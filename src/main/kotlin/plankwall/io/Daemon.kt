package plankwall.io

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.slf4j.LoggerFactory
import plankwall.core.Controller
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.Effect
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.model.Address
import plankwall.model.Settings
import plankwall.model.Tuning
import plankwall.wire.JobCodec
import plankwall.wire.MalformedMessageException
import plankwall.wire.WorkerCodec

/** Ties the core to the world. Everything here runs on one thread; only the selector has its own. */
class Daemon(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val settings: Settings,
    tuning: Tuning,
    identities: AccessComponents? = null,
) {
    private val log = LoggerFactory.getLogger("daemon")
    private val incarnation = System.currentTimeMillis()
    private val core =
        Controller(settings, tuning, incarnation, seed = System.nanoTime(), accessCheck = identities?.gate)
    private val proofs = identities != null
    private val state = StateClient(selector, settings.stateAddress)
    private val cloud =
        CloudClient(selector, settings.cloudAddress, settings.cloud.rps) { System.nanoTime() / 1_000_000 }
    private val answers = HashMap<RequestId, CompletableDeferred<HttpReply>>()
    private var nextRequest = 1L
    private var workerPosts = 0
    private var shedPosts = 0
    private val postSlots = Semaphore(MAX_WORKER_POSTS)
    private val peers =
        PeerLinks(scope, selector, settings.peers, identities?.frames?.invoke(incarnation)) {
            feed(Input.PeerMessageReceived(it))
        }

    suspend fun run() {
        HttpServer(scope, selector, settings.frontConnections, ::handle).start(settings.front)
        peers.listen(settings.internal)
        log.info("{} serves on {}, peers on {}", settings.node, settings.front, settings.internal)
        log.info(
            "aims are stated for {}; other classes without a guarantee take what is left",
            settings.objectives.mapNotNull {
                it.jobClass
            }.toSet(),
        )
        while (scope.isActive) {
            feed(Input.Tick)
            delay(TICK_MS)
            if (shedPosts > 0 && workerPosts < MAX_WORKER_POSTS) {
                log.info("direct commands shed: {} beyond the {} that may wait", shedPosts, MAX_QUEUED_POSTS)
                shedPosts = 0
            }
        }
    }

    private fun feed(input: Input) {
        val effects = try {
            core.step(System.nanoTime() / 1e9, System.currentTimeMillis(), input)
        } catch (e: Exception) {
            log.error("step failed on {}", input.javaClass.simpleName, e)
            return
        }
        effects.forEach(::perform)
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.Answer -> answers.remove(
                effect.request,
            )?.complete(HttpReply(effect.status, effect.body, effect.retryAfterS, close = effect.close))
            is Effect.StateCall -> scope.launch { feed(Input.StateReply(effect.call, state.run(effect.op))) }
            is Effect.CloudCall -> scope.launch { feed(Input.CloudReply(effect.call, cloud.run(effect.op))) }
            is Effect.WorkerPost -> queue(effect)
            is Effect.PeerSend -> peers.send(effect.message, effect.to)
        }
    }

    /** Direct commands only hasten what the next check-in brings anyway: those beyond the bound are let go. */
    private fun queue(effect: Effect.WorkerPost) {
        if (workerPosts >= MAX_QUEUED_POSTS) {
            shedPosts++
            return
        }
        workerPosts++
        scope.launch {
            try {
                postSlots.withPermit { post(effect) }
            } finally {
                workerPosts--
            }
        }
    }

    private suspend fun post(effect: Effect.WorkerPost) {
        val address = Address.parse(effect.address) ?: return
        val client = HttpClient(selector, address, maxConnections = 1, maxWaiting = 1, keepAlive = false)
        val outcome = client.call("POST", "/commands", effect.body, WORKER_MS)
        log.debug("commands to {}: {}", effect.machine, describe(outcome))
        if (outcome !is HttpOutcome.Answered || (outcome.status != 200 && outcome.status != 409)) return
        val report = try {
            WorkerCodec.readReport(outcome.body)
        } catch (e: MalformedMessageException) {
            log.warn("report of {} can't be read: {}", effect.machine, e.message)
            null
        }
        feed(Input.WorkerReply(effect.machine, report))
    }

    private suspend fun ask(input: (RequestId) -> Input): HttpReply {
        if (answers.size >= MAX_OPEN) return HttpReply(503, JobCodec.error("overloaded"), 1)
        val request = RequestId(nextRequest++)
        val answer = CompletableDeferred<HttpReply>()
        answers[request] = answer
        feed(input(request))
        return try {
            answer.await()
        } finally {
            answers.remove(request)
        }
    }

    private suspend fun handle(request: HttpRequest): HttpReply = try {
        route(request)
    } catch (e: MalformedMessageException) {
        log.debug("{} {}: {}", request.method, request.path, e.message)
        HttpReply(400, JobCodec.error(e.message ?: "malformed"))
    }

    private fun credentials(r: HttpRequest): Credentials? =
        if (proofs) Credentials(r.method, r.target, r.body, r.authorization, r.from) else null

    private suspend fun route(request: HttpRequest): HttpReply {
        val method = request.method
        val path = request.path
        val job = path.removePrefix(JOB_PATH)
        return when {
            path == "/checkin" -> post(method) {
                val report = WorkerCodec.readReport(request.body)
                ask { Input.Heartbeat(it, report, if (proofs) request.from else "") }
            }
            path == "/up" -> get(method) { ask { Input.HealthCheck(it) } }
            path == "/api/jobs" -> post(method) {
                val spec = JobCodec.read(request.body)
                ask { Input.Submit(it, spec, credentials(request)) }
            }
            !path.startsWith(JOB_PATH) -> if (proofs) keep(request) else notFound()
            job.endsWith(WITHDRAW) -> {
                val id = job.removeSuffix(WITHDRAW)
                post(method) {
                    if (JobCodec.isJobId(id)) ask { Input.Cancel(it, id, credentials(request)) } else notFound()
                }
            }
            else -> get(method) {
                if (JobCodec.isJobId(job)) ask { Input.Show(it, job, credentials(request)) } else notFound()
            }
        }
    }

    /** Rights and trail, which exist only where callers prove who they are. */
    private suspend fun keep(request: HttpRequest): HttpReply {
        val asked = AdminRoutes.read(request) ?: return notFound()
        return ask {
            Input.Admin(
                it,
                asked,
                Credentials(request.method, request.target, request.body, request.authorization, request.from),
            )
        }
    }

    private suspend fun get(method: String, serve: suspend () -> HttpReply): HttpReply = only("GET", method, serve)

    private suspend fun post(method: String, serve: suspend () -> HttpReply): HttpReply = only("POST", method, serve)

    private suspend fun only(allowed: String, method: String, serve: suspend () -> HttpReply): HttpReply =
        if (method == allowed) serve() else HttpReply(405, JobCodec.error("only $allowed"), allow = allowed)

    private fun notFound() = HttpReply(404, JobCodec.error("not found"))

    private companion object {
        const val TICK_MS = 100L
        const val MAX_OPEN = 400
        const val MAX_WORKER_POSTS = 40
        const val MAX_QUEUED_POSTS = 400

        const val WORKER_MS = 3_000L
        const val JOB_PATH = "/api/jobs/"
        const val WITHDRAW = "/withdraw"
    }
}
