package plankwall.io

import org.slf4j.LoggerFactory
import plankwall.core.statemachine.Credentials
import plankwall.core.statemachine.Input
import plankwall.core.statemachine.RequestId
import plankwall.wire.JobCodec
import plankwall.wire.MalformedMessageException
import plankwall.wire.WorkerCodec

/**
 * Maps HTTP requests of users and workers to inputs of the controller.
 *
 * @param authenticated whether callers must prove their identity; only then can the policy and the audit log be reached
 * @param awaitReply passes the input made for a new request id to the controller and waits for its answer
 */
internal class ApiRoutes(
    private val authenticated: Boolean,
    private val awaitReply: suspend ((RequestId) -> Input) -> HttpReply,
) {
    private val log = LoggerFactory.getLogger("daemon")

    /** Answers [request]; a malformed one gets status 400. */
    suspend fun handle(request: HttpRequest): HttpReply = try {
        route(request)
    } catch (e: MalformedMessageException) {
        log.debug("request malformed method={} path={} problem={}", request.method, request.path, e.message)
        HttpReply(HttpStatus.BAD_REQUEST, JobCodec.error(e.message ?: "malformed"))
    }

    private suspend fun route(request: HttpRequest): HttpReply {
        val path = request.path
        return when {
            path == "/checkin" -> requireMethod("POST", request) { submitHeartbeat(request) }
            path == "/up" -> requireMethod("GET", request) { awaitReply { Input.HealthCheck(it) } }
            path == "/api/jobs" -> requireMethod("POST", request) { submitJob(request) }
            path.startsWith(JOB_PATH_PREFIX) -> routeJob(request, path.removePrefix(JOB_PATH_PREFIX))
            authenticated -> administer(request)
            else -> notFoundReply()
        }
    }

    private suspend fun submitHeartbeat(request: HttpRequest): HttpReply {
        val status = WorkerCodec.readHeartbeat(request.body)
        return awaitReply { Input.Heartbeat(it, status, if (authenticated) request.clientAddress else "") }
    }

    private suspend fun submitJob(request: HttpRequest): HttpReply {
        val spec = JobCodec.read(request.body)
        return awaitReply { Input.Submit(it, spec, readCredentialsIfRequired(request)) }
    }

    /** Serves a request about one job. [jobPath]: the part of the path after [JOB_PATH_PREFIX]. */
    private suspend fun routeJob(request: HttpRequest, jobPath: String): HttpReply =
        if (jobPath.endsWith(CANCEL_SUFFIX)) {
            requireMethod("POST", request) {
                withJobId(jobPath.removeSuffix(CANCEL_SUFFIX)) { id ->
                    awaitReply { Input.Cancel(it, id, readCredentialsIfRequired(request)) }
                }
            }
        } else {
            requireMethod("GET", request) {
                withJobId(jobPath) { id -> awaitReply { Input.Show(it, id, readCredentialsIfRequired(request)) } }
            }
        }

    /** Calls [serve] with [id] if that has the form of a job id; otherwise replies with status 404. */
    private suspend fun withJobId(id: String, serve: suspend (String) -> HttpReply): HttpReply =
        if (JobCodec.isJobId(id)) serve(id) else notFoundReply()

    private suspend fun administer(request: HttpRequest): HttpReply {
        val adminRequest = AdminRoutes.readAdminRequest(request) ?: return notFoundReply()
        return awaitReply { Input.Admin(it, adminRequest, readCredentials(request)) }
    }

    /** Returns the credentials in [request]; null if callers need not prove their identity. */
    private fun readCredentialsIfRequired(request: HttpRequest): Credentials? =
        if (authenticated) readCredentials(request) else null

    private fun readCredentials(request: HttpRequest) =
        Credentials(request.method, request.target, request.body, request.authorization, request.clientAddress)

    /** Calls [serve] if [request] has the method [allowed]; otherwise replies with status 405. */
    private suspend fun requireMethod(
        allowed: String,
        request: HttpRequest,
        serve: suspend () -> HttpReply,
    ): HttpReply {
        if (request.method == allowed) return serve()
        return HttpReply(HttpStatus.METHOD_NOT_ALLOWED, JobCodec.error("only $allowed"), allowHeader = allowed)
    }

    private fun notFoundReply() = HttpReply(HttpStatus.NOT_FOUND, JobCodec.error("not found"))

    private companion object {
        const val JOB_PATH_PREFIX = "/api/jobs/"
        const val CANCEL_SUFFIX = "/withdraw"
    }
}
