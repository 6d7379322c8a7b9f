package plankwall.io

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.wire.JobCodec
import plankwall.wire.MalformedMessageException
import plankwall.wire.WorkerCodec

/**
 * Maps HTTP requests of users and workers to inputs of the core. [authenticated]: whether callers prove who they are;
 * the policy and the audit log exist only then. [ask] passes an input to the core and waits for its answer.
 */
internal class ApiRoutes(
    private val authenticated: Boolean,
    private val ask: suspend ((RequestId) -> Input) -> HttpReply,
) {
    private val log = LoggerFactory.getLogger("daemon")

    /** Answers [request]; one that is malformed with status 400. */
    suspend fun handle(request: HttpRequest): HttpReply = try {
        route(request)
    } catch (e: MalformedMessageException) {
        log.debug("request malformed method={} path={} problem={}", request.method, request.path, e.message)
        HttpReply(HttpStatus.BAD_REQUEST, JobCodec.error(e.message ?: "malformed"))
    }

    private suspend fun route(request: HttpRequest): HttpReply {
        val path = request.path
        return when {
            path == "/checkin" -> only("POST", request) { heartbeat(request) }
            path == "/up" -> only("GET", request) { ask { Input.HealthCheck(it) } }
            path == "/api/jobs" -> only("POST", request) { submit(request) }
            path.startsWith(JOB_PATH) -> routeJob(request, path.removePrefix(JOB_PATH))
            authenticated -> administer(request)
            else -> notFound()
        }
    }

    private suspend fun heartbeat(request: HttpRequest): HttpReply {
        val status = WorkerCodec.readReport(request.body)
        return ask { Input.Heartbeat(it, status, if (authenticated) request.from else "") }
    }

    private suspend fun submit(request: HttpRequest): HttpReply {
        val spec = JobCodec.read(request.body)
        return ask { Input.Submit(it, spec, optionalCredentials(request)) }
    }

    /** [rest]: what follows the prefix of jobs' paths. */
    private suspend fun routeJob(request: HttpRequest, rest: String): HttpReply = if (rest.endsWith(CANCEL)) {
        only("POST", request) {
            forJob(rest.removeSuffix(CANCEL)) { id -> ask { Input.Cancel(it, id, optionalCredentials(request)) } }
        }
    } else {
        only("GET", request) {
            forJob(rest) { id -> ask { Input.Show(it, id, optionalCredentials(request)) } }
        }
    }

    private suspend fun forJob(id: String, serve: suspend (String) -> HttpReply): HttpReply =
        if (JobCodec.isJobId(id)) serve(id) else notFound()

    private suspend fun administer(request: HttpRequest): HttpReply {
        val adminRequest = AdminRoutes.read(request) ?: return notFound()
        return ask { Input.Admin(it, adminRequest, credentials(request)) }
    }

    private fun optionalCredentials(request: HttpRequest): Credentials? =
        if (authenticated) credentials(request) else null

    private fun credentials(request: HttpRequest) =
        Credentials(request.method, request.target, request.body, request.authorization, request.from)

    private suspend fun only(allowed: String, request: HttpRequest, serve: suspend () -> HttpReply): HttpReply {
        if (request.method == allowed) return serve()
        return HttpReply(HttpStatus.METHOD_NOT_ALLOWED, JobCodec.error("only $allowed"), allow = allowed)
    }

    private fun notFound() = HttpReply(HttpStatus.NOT_FOUND, JobCodec.error("not found"))

    private companion object {
        const val JOB_PATH = "/api/jobs/"
        const val CANCEL = "/withdraw"
    }
}
